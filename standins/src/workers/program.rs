//! Programs that stand-in workers know. A program does no work: it ends after a set time.

const OUT_OF_MEMORY: &str = "out of memory";

/// Behaviour of a task, parsed from its program name and input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Program {
    /// Run time at full speed, in ms; `None` runs forever.
    pub(crate) run_ms: Option<u64>,
    /// Memory actually used, in MB; `None` uses what the task declared.
    pub(crate) memory_mb: Option<u32>,
    /// Output, or the error that the task fails with.
    pub(crate) result: Result<String, String>,
    /// How long the worker is away after the program, at the end of its run time, crashes it,
    /// in ms; `None` for a program that just ends.
    pub(crate) crash_ms: Option<u64>,
}

impl Program {
    /// Parses the name of a program: `echo`, `echo:MS`, `sleep:MS`, `fail`,
    /// `fail:MS`, `hang`, `hog:MS:MEMORY_MB` or `crash:MS:AWAY_MS`; any other program fails at
    /// once.
    pub(crate) fn parse(task: &str, input: &str) -> Self {
        let parts: Vec<&str> = task.split(':').collect();
        match parts.as_slice() {
            ["echo"] => Self::timed(0, Ok(input)),
            ["echo", ms] => Self::parse_timed(task, ms, Ok(input)),
            ["sleep", ms] => Self::parse_timed(task, ms, Ok("")),
            ["fail"] => Self::timed(0, Err("failed as asked")),
            ["fail", ms] => Self::parse_timed(task, ms, Err("failed as asked")),
            ["hang"] => Self {
                run_ms: None,
                ..Self::timed(0, Ok(""))
            },
            ["hog", ms, memory] => Self::hog(task, ms, memory),
            ["crash", ms, away_ms] => Self::crash(task, ms, away_ms),
            _ => Self::unknown(task),
        }
    }

    /// A program that fails at once with `message`.
    pub(crate) fn failing(message: &str) -> Self {
        Self::timed(0, Err(message))
    }

    /// The program as it runs on a worker with this much memory: it fails if it uses more.
    pub(crate) fn limited_to_memory(self, worker_memory_mb: u32) -> Self {
        if self.memory_mb.is_some_and(|mb| mb > worker_memory_mb) {
            return Self {
                result: Err(OUT_OF_MEMORY.to_owned()),
                ..self
            };
        }
        self
    }

    fn hog(task: &str, ms: &str, memory: &str) -> Self {
        let Ok(memory_mb) = memory.parse() else {
            return Self::unknown(task);
        };
        Self {
            memory_mb: Some(memory_mb),
            ..Self::parse_timed(task, ms, Ok(""))
        }
    }

    fn crash(task: &str, ms: &str, away_ms: &str) -> Self {
        let (Ok(ms), Ok(away_ms)) = (ms.parse(), away_ms.parse()) else {
            return Self::unknown(task);
        };
        Self {
            crash_ms: Some(away_ms),
            ..Self::timed(ms, Ok(""))
        }
    }

    fn parse_timed(task: &str, ms: &str, result: Result<&str, &str>) -> Self {
        match ms.parse() {
            Ok(ms) => Self::timed(ms, result),
            Err(_) => Self::unknown(task),
        }
    }

    fn timed(ms: u64, result: Result<&str, &str>) -> Self {
        Self {
            run_ms: Some(ms),
            memory_mb: None,
            result: result.map(str::to_owned).map_err(str::to_owned),
            crash_ms: None,
        }
    }

    fn unknown(task: &str) -> Self {
        Self::timed(0, Err(&format!("unknown program {task}")))
    }
}
