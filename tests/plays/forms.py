"""What a form of the plays draws from."""

from dataclasses import dataclass


@dataclass
class Form:
    action: object
    entries: int
    executors: int
    seconds: float
    callers: int
    period_s: list
    losses: list
    lates: list
    slow: float
    slow_clock: bool
    cpu: list
    task_cpu: int
