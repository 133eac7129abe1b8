//! The record of a run: what was sent, answered and run, with milliseconds since the start.

use super::*;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now());
    }
}
