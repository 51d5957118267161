use {
    crate::StartError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Reads a settings file in TOML.
///
/// # Errors
///
/// Returns `StartError::Settings` if the file can't be read or parsed. The text names the file, the
/// line, the key and what is expected.
pub fn load_settings<S: DeserializeOwned>(path: impl AsRef<Path>) -> Result<S, StartError> {
    let path = path.as_ref();
    let text = fs::read_to_string(path)
        .map_err(|error| StartError::Settings(format!("{}: {error}", path.display())))?;
    toml::from_str(&text).map_err(|error| {
        let line = error.span().map_or(0, |span| line_of(&text, span.start));
        let key = error.span().map_or("", |span| key_at(&text, span.start));
        let message = error.message();
        StartError::Settings(format!("{}:{line}: `{key}`: {message}", path.display()))
    })
}

/// Returns the number of the line that holds a byte offset, starting at 1.
fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Returns the key of the line that holds a byte offset.
fn key_at(text: &str, offset: usize) -> &str {
    let line = text.lines().nth(line_of(text, offset) - 1).unwrap_or("");
    line.split('=').next().unwrap_or("").trim()
}
