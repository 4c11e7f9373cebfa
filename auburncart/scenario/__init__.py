"""Scripted scenarios: a small language, the environments it runs in, and transcripts of runs."""

from auburncart.scenario.environment import Environment, Outcome
from auburncart.scenario.language import Command, ScenarioError, parse
from auburncart.scenario.runner import ExpectationError, Runner

__all__ = [
    "Command",
    "Environment",
    "ExpectationError",
    "Outcome",
    "Runner",
    "ScenarioError",
    "parse",
]
