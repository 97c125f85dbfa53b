# build: both programs; test: all tests; lint: form and warnings; run: the agent with the example file.
.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --all-targets --locked -- -D warnings

run: build
	target/release/lockpoint agent --config deploy/agent.toml
