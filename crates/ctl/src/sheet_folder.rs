use {
    setup::{StartError, load_settings},
    sheet::{IndexPart, SheetBundle, SheetIndex},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Name of the index file in the folder of a sheet.
const INDEX_FILE: &str = "index.toml";

/// A folder that holds a sheet: its parts as `.toml` files and, once it is ready to be published,
/// its index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetFolder {
    folder: PathBuf,
}

impl SheetFolder {
    /// Takes the path of the folder, or of its index file.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let folder = if path.is_file() {
            let parent = path.parent().map(Path::to_path_buf);
            parent.unwrap_or_default()
        } else {
            path
        };
        Self { folder }
    }

    /// Reads the index and the parts that it lists. Without an index file, it reads all parts in
    /// the order of their file names, as version 1.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, or if the index is malformed.
    pub fn load(&self) -> Result<SheetBundle, StartError> {
        let index_path = self.folder.join(INDEX_FILE);
        if !index_path.is_file() {
            return self.load_parts(1);
        }
        let index: SheetIndex = load_settings(&index_path)?;
        let parts = index.part.iter().map(|part| {
            let name = part.key.rsplit('/').next().unwrap_or(&part.key);
            read_part(&self.folder.join(format!("{name}.toml")))
        });
        Ok(SheetBundle {
            parts: parts.collect::<Result<_, _>>()?,
            index,
        })
    }

    /// Reads all parts in the order of their file names and makes an index of the given version
    /// for them; an index file is ignored.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, or if there is no part.
    pub fn load_parts(&self, version: u64) -> Result<SheetBundle, StartError> {
        let mut bundle = SheetBundle {
            index: SheetIndex {
                version,
                part: Vec::new(),
            },
            parts: Vec::new(),
        };
        for path in self.part_paths()? {
            let text = read_part(&path)?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            bundle.index.part.push(IndexPart {
                key: format!("sheet/{name}"),
                digest: SheetIndex::part_digest(&text),
            });
            bundle.parts.push(text);
        }
        Ok(bundle)
    }

    /// Returns the paths of all parts, sorted; fails if there is none.
    fn part_paths(&self) -> Result<Vec<PathBuf>, StartError> {
        let folder_error = |reason: String| {
            let folder = self.folder.display();
            StartError::Settings(format!("{folder}: {reason}"))
        };
        let files = fs::read_dir(&self.folder).map_err(|error| folder_error(error.to_string()))?;
        let mut paths: Vec<PathBuf> = files
            .filter_map(|file| file.ok().map(|file| file.path()))
            .filter(|path| path.extension().is_some_and(|ext| ext == "toml"))
            .filter(|path| path.file_name().is_none_or(|name| name != INDEX_FILE))
            .collect();
        if paths.is_empty() {
            return Err(folder_error(String::from(
                "no parts; the parts of a sheet are files *.toml",
            )));
        }
        paths.sort();
        Ok(paths)
    }
}

fn read_part(path: &Path) -> Result<String, StartError> {
    fs::read_to_string(path)
        .map_err(|error| StartError::Settings(format!("{}: {error}", path.display())))
}
