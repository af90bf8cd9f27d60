use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A temporary folder for one test case. It is removed when dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Creates a folder with `files`, given as pairs of name and content.
    pub(crate) fn with(files: &[(&str, &str)]) -> Folder {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("toucanchute-settings-{}-{n}", process::id()));
        fs::create_dir_all(&path).unwrap();
        for (name, content) in files {
            fs::write(path.join(name), content).unwrap();
        }
        Folder(path)
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Returns the text of an error with file paths relative to the folder.
    pub(crate) fn relative(&self, err: &impl ToString) -> String {
        let prefix = format!("{}/", self.0.display());
        err.to_string().replace(&prefix, "")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
