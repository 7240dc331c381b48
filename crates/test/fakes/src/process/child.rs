//! One process of the build's output.

use {
    anyhow::{bail, Context, Result},
    nix::unistd::{sysconf, SysconfVar},
    std::{
        env, fs,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::Duration,
    },
};

/// Place of the user time behind the name in `/proc/<pid>/stat`; the system time follows.
const PROCESSOR_TIME_FIELD: usize = 11;

/// One process, ended when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the build's output.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self> {
        let path = build_output()?.join(program);
        let child = Command::new(&path)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .with_context(|| format!("{} does not start", path.display()))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended with success.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot tell.
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
        // The name in parentheses may hold spaces, so counting starts behind it.
        let (_, fields) = text.rsplit_once(')').context("malformed status")?;
        let ticks: u64 = fields
            .split_whitespace()
            .skip(PROCESSOR_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        let ticks_per_s = sysconf(SysconfVar::CLK_TCK)?.context("no clock tick")?;
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
            .context("malformed memory status")?
            .parse()?;
        let page_bytes = sysconf(SysconfVar::PAGE_SIZE)?.context("no page size")?;
        Ok(pages * page_bytes.unsigned_abs())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // Killing a process that has ended fails, and nothing is owed then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program of the build's output to its end and returns what it printed.
///
/// # Errors
///
/// Returns an error with the printed text if the program fails.
pub fn run_program(program: &str, arguments: &[&str]) -> Result<String> {
    let output = Command::new(build_output()?.join(program))
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

fn build_output() -> Result<PathBuf> {
    let own = env::current_exe()?;
    let below = own
        .ancestors()
        .find(|path| path.ends_with("deps") || path.ends_with("examples"))
        .and_then(|path| path.parent())
        .or_else(|| own.parent());
    Ok(below.context("the build's output is not found")?.to_owned())
}
