//! Starts and kills the controllers' processes, and runs the program's commands.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::{json, Value};

use super::Addresses;

/// The limit on requests to the state service in the settings.
const STORE_REQUESTS_PER_SECOND: f64 = 500.0;

/// The controller processes of one site, and the folder with their settings. Dropping it kills the processes and
/// removes the folder.
pub struct ControllerProcesses {
    children: Vec<Option<Child>>,
    folder: PathBuf,
    cells_file: Option<PathBuf>,
}

/// The result of a command.
#[derive(Debug)]
pub struct CommandResult {
    /// The exit code; `None` if a signal ended the process.
    pub exit_code: Option<i32>,
    /// The standard output, followed by the standard error output.
    pub output: String,
}

impl ControllerProcesses {
    /// Writes the settings files, and the file on cells if `cells_text` is given. Starts no process.
    pub fn new(name: &str, addresses: &Addresses, cells_text: Option<&str>) -> ControllerProcesses {
        ControllerProcesses::with_store_rate(name, addresses, cells_text, STORE_REQUESTS_PER_SECOND)
    }

    /// Writes the settings files, in which the state service allows `store_rps` requests per second.
    pub fn with_store_rate(
        name: &str,
        addresses: &Addresses,
        cells_text: Option<&str>,
        store_rps: f64,
    ) -> ControllerProcesses {
        // Tests of one process run in parallel and have sites of the same name; the port keeps their folders apart.
        let port = addresses.cloud.port();
        let folder = format!("saltpitch-{}-{name}-{port}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("the folder for settings is created");
        let controllers = addresses.api.len();
        for n in 0..controllers {
            let settings = settings(n, addresses, store_rps).to_string();
            std::fs::write(settings_file(&folder, n), settings)
                .expect("the settings file is written");
        }
        let cells_file = cells_text.map(|text| {
            let file = folder.join("cells.toml");
            std::fs::write(&file, text).expect("the file on cells is written");
            file
        });
        ControllerProcesses {
            children: (0..controllers).map(|_| None).collect(),
            folder,
            cells_file,
        }
    }

    /// Returns the path of a controller's settings file.
    pub fn settings_file(&self, n: usize) -> PathBuf {
        settings_file(&self.folder, n)
    }

    /// Runs `saltpitch cells` with the first controller's settings and these arguments.
    pub async fn run_cells_command(&self, args: &[&str]) -> CommandResult {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltpitch"));
        command
            .args(["cells", "--config"])
            .arg(self.settings_file(0))
            .args(args);
        // The command blocks its thread; the stand-ins must keep answering meanwhile.
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.expect("no panic").expect("the program runs");
        let printed = [output.stdout, output.stderr].concat();
        CommandResult {
            exit_code: output.status.code(),
            output: String::from_utf8_lossy(&printed).into_owned(),
        }
    }

    /// Starts a controller; `SALTPITCH_TEST_LOG` sets its log level, `error` by default.
    pub fn start(&mut self, n: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltpitch"));
        command
            .args(["serve", "--config"])
            .arg(self.settings_file(n));
        if let Some(file) = &self.cells_file {
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

    /// Returns the memory in bytes that a controller holds for itself, without the pages of its program; `None` if it
    /// does not run.
    pub fn held_memory(&self, n: usize) -> Option<u64> {
        let id = self.children[n].as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Kills a controller without a graceful shutdown.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for ControllerProcesses {
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

/// Returns the settings of a controller. The field `new_field` is unknown to the program: unknown fields must not
/// keep a controller from starting.
fn settings(n: usize, addresses: &Addresses, store_rps: f64) -> Value {
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
            "state": {"rps": store_rps, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 20.0, "list_lag_s": 1.0},
            "limits": {"cpu_share": 1.0, "mem_mb": 200.0, "sockets": 500},
            "clock_error_ms": 5.0, "new_field": true
        }
    })
}
