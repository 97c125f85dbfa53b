//! Credential files, which are refused if users other than the owner can access them.

use std::io::Read as _;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Maximum size of a credential file.
const MAX_BYTES: u64 = 1 << 20;

/// Reads a credential file. It is refused if its group or others have any permission on it. Errors never contain its
/// contents.
pub fn read(file: &Path) -> Result<String, String> {
    let opened = std::fs::File::open(file).map_err(|error| error.to_string())?;
    // Checked on the open file, since the path may refer to another file a moment later.
    let mode = opened.metadata().map_err(|error| error.to_string())?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!("others can read or write it (mode {:03o}); chmod 600 it", mode & 0o777));
    }
    let mut text = String::new();
    match opened.take(MAX_BYTES + 1).read_to_string(&mut text) {
        Ok(length) if length as u64 > MAX_BYTES => Err(format!("the file is longer than {MAX_BYTES} bytes")),
        Ok(_) => Ok(text),
        Err(_) => Err("the file is not UTF-8 text".to_owned()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_others_can_access_is_refused() {
        let file = std::env::temp_dir().join(format!("lockpoint-secrets-{}", std::process::id()));
        std::fs::write(&file, "hidden").expect("the file is written");
        for (mode, accepted) in [(0o600, true), (0o400, true), (0o640, false), (0o604, false), (0o620, false)]
        {
            std::fs::set_permissions(&file, std::fs::Permissions::from_mode(mode)).expect("the mode is set");
            assert_eq!(read(&file).is_ok(), accepted, "{mode:o}");
        }
        let _ = std::fs::remove_file(&file);
        assert!(read(&file).is_err());
    }
}
