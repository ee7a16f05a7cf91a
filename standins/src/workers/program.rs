//! Programs that stand-in workers know; a task's run is a timer.

const OUT_OF_MEMORY: &str = "out of memory";

/// What a task does, read from its name and input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Program {
    /// Time that it runs at full speed, in ms; `None` runs for ever.
    pub(crate) run_ms: Option<u64>,
    /// Memory that it really uses, in MB; `None` uses what it declared.
    pub(crate) memory_mb: Option<u32>,
    /// What comes of it.
    pub(crate) result: Result<String, String>,
}

impl Program {
    /// Reads the name of a program: `echo`, `echo:MS`, `sleep:MS`, `fail`,
    /// `fail:MS`, `hang` or `hog:MS:MEMORY_MB`; any other one fails at once.
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
            _ => Self::unknown(task),
        }
    }

    /// A program that fails at once with `message`.
    pub(crate) fn failing(message: &str) -> Self {
        Self::timed(0, Err(message))
    }

    /// The same program on a worker whose memory it may not fit.
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
        }
    }

    fn unknown(task: &str) -> Self {
        Self::timed(0, Err(&format!("unknown program {task}")))
    }
}
