//! The controllers' processes.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::{json, Value};

use super::Addresses;

/// The controllers of one site, and the folder with their settings.
pub struct Programs {
    children: Vec<Option<Child>>,
    folder: PathBuf,
    cells: Option<PathBuf>,
}

/// How a command ended.
#[derive(Debug)]
pub struct CommandResult {
    /// Its exit code.
    pub exit_code: Option<i32>,
    /// All that it printed.
    pub printed: String,
}

impl Programs {
    /// Writes the settings; `cells` is the text of the file on cells, if there is one.
    pub fn new(name: &str, addresses: &Addresses, cells: Option<&str>) -> Programs {
        // Tests that run side by side have sites of the same name.
        let port = addresses.cloud.port();
        let folder = format!("saltpitch-{}-{name}-{port}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let controllers = addresses.api.len();
        for n in 0..controllers {
            let settings = settings(n, addresses).to_string();
            std::fs::write(settings_file(&folder, n), settings).expect("settings");
        }
        let cells = cells.map(|text| {
            let file = folder.join("cells.toml");
            std::fs::write(&file, text).expect("a file on cells");
            file
        });
        Programs {
            children: (0..controllers).map(|_| None).collect(),
            folder,
            cells,
        }
    }

    /// The settings of a controller.
    pub fn settings_file(&self, n: usize) -> PathBuf {
        settings_file(&self.folder, n)
    }

    /// Runs `saltpitch cells` on the first controller's settings.
    pub async fn cells_command(&self, args: &[&str]) -> CommandResult {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltpitch"));
        command
            .args(["cells", "--config"])
            .arg(self.settings_file(0))
            .args(args);
        // The stand-ins go on meanwhile.
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.expect("no panic").expect("the program runs");
        let printed = [output.stdout, output.stderr].concat();
        CommandResult {
            exit_code: output.status.code(),
            printed: String::from_utf8_lossy(&printed).into_owned(),
        }
    }

    /// Starts a controller.
    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltpitch"));
        command
            .args(["serve", "--config"])
            .arg(self.settings_file(n));
        if let Some(file) = &self.cells {
            command.arg("--cells").arg(file);
        }
        let level = std::env::var("SALTPITCH_TEST_LOG").unwrap_or_else(|_| "error".to_owned());
        let child = command
            .env("LOG_LEVEL", level)
            .stderr(Stdio::inherit())
            .spawn();
        self.children[n] = Some(child.expect("the program starts"));
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        for n in 0..self.children.len() {
            self.start(n);
        }
    }

    /// Ends a controller without notice.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Programs {
    fn drop(&mut self) {
        for n in 0..self.children.len() {
            self.kill(n);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings_file(folder: &Path, n: usize) -> PathBuf {
    folder.join(format!("n{n}.json"))
}

fn settings(n: usize, addresses: &Addresses) -> Value {
    let Addresses {
        api,
        peer,
        cloud,
        store,
    } = addresses;
    let others = (0..api.len()).filter(|other| *other != n);
    let seeds: Vec<Value> = others
        .map(|other| {
            json!({"node": format!("n{other}"), "location": "b", "addr": peer[other].to_string()})
        })
        .collect();
    json!({
        "node": format!("n{n}"), "location": "a",
        "api_addr": api[n].to_string(), "peer_bind": peer[n].to_string(),
        "seeds": seeds,
        "external": {"cloud": cloud.to_string(), "state": store[n].to_string()},
        "cluster": {
            "size": api.len(), "zones": ["a", "b"],
            "teams": [
                {"name": "crew", "cpus": 8.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "guests", "cpus": 0.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "objectives": [],
            "workers": {"report_s": 0.5, "lease_s": 6.0, "gang_wait_s": 20.0, "gang_peer_s": 3.0,
                "cancel_s": 20.0},
            "state": {"rps": 500.0, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 20.0, "list_lag_s": 1.0},
            "limits": {"cpu_share": 1.0, "mem_mb": 200.0, "sockets": 500},
            "clock_error_ms": 5.0, "new_field": true
        }
    })
}
