# build: all programs; test: all tests; lint: form and warnings; run: the agent with the example file;
# demo: the agent with the example file and stand-ins around it, under load on both protocols, with a chart.
.PHONY: build test lint run demo

build:
	cargo build --release --locked --workspace

test:
	cargo test --locked --workspace -- $(TESTFLAGS)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	target/release/lockpoint agent --config deploy/agent.toml

demo: build
	target/release/lockpoint-lab demo --config deploy/agent.toml --out target/demo
