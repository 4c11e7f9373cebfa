"""Scripted scenarios: a small language, the worlds it acts on, and written-down sessions."""

from auburncart.scenario.language import Command, ScenarioError, parse
from auburncart.scenario.runner import ExpectationError, Runner
from auburncart.scenario.world import Outcome, World

__all__ = ["Command", "ExpectationError", "Outcome", "Runner", "ScenarioError", "World", "parse"]
