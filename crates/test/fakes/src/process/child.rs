//! A child process that runs a program of the build output.

use {
    crate::process::port::lock_sockets,
    anyhow::{bail, Context, Result},
    nix::unistd::{sysconf, SysconfVar},
    std::{
        env, fs,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

/// Index of the user time among the fields after the name in `/proc/<pid>/stat`; the system
/// time follows.
const PROCESSOR_TIME_FIELD: usize = 11;

/// A child process, killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the build output.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started, for example if it is not built.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self> {
        let path = build_output_dir()?.join(program);
        let _sockets = lock_sockets();
        let child = Command::new(&path)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .with_context(|| format!("failed to start {}", path.display()))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited successfully.
    ///
    /// # Errors
    ///
    /// Returns an error if the status cannot be queried.
    pub fn has_succeeded(&mut self) -> Result<bool> {
        Ok(self
            .child
            .try_wait()?
            .is_some_and(|status| status.success()))
    }

    /// Returns the processor time that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn processor_time(&self) -> Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        // The name in parentheses may contain spaces, so fields are counted after it.
        let (_, fields) = text
            .rsplit_once(')')
            .context("malformed /proc/<pid>/stat")?;
        let ticks: u64 = fields
            .split_whitespace()
            .skip(PROCESSOR_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        let ticks_per_s =
            sysconf(SysconfVar::CLK_TCK)?.context("the clock tick rate is unknown")?;
        Ok(Duration::from_secs_f64(ticks as f64 / ticks_per_s as f64))
    }

    /// Returns the resident memory of the process, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resident_bytes(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.pid()))?;
        let pages: u64 = text
            .split_whitespace()
            .nth(1)
            .context("malformed /proc/<pid>/statm")?
            .parse()?;
        let page_bytes = sysconf(SysconfVar::PAGE_SIZE)?.context("the page size is unknown")?;
        Ok(pages * page_bytes.unsigned_abs())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // Killing fails if the process has already exited, which needs no handling.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program of the build output until it exits and returns its standard output.
///
/// # Errors
///
/// Returns an error with the output of the program if it fails.
pub fn run_program(program: &str, arguments: &[&str]) -> Result<String> {
    let output = Command::new(build_output_dir()?.join(program))
        .args(arguments)
        .output()
        .with_context(|| program.to_owned())?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if !output.status.success() {
        bail!(
            "{program}, {}: {text}{}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        );
    }
    Ok(text)
}

fn build_output_dir() -> Result<PathBuf> {
    let own_path = env::current_exe()?;
    let dir = own_path
        .ancestors()
        .find(|path| path.ends_with("deps") || path.ends_with("examples"))
        .and_then(|path| path.parent())
        .or_else(|| own_path.parent());
    Ok(dir
        .context("the build output directory is not found")?
        .to_owned())
}
