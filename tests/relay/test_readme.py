"""The README's Python examples run unchanged."""

from pathlib import Path

README = (Path(__file__).parents[2] / "README.md").read_text()


def test_examples_run() -> None:
    blocks = [part.split("```", 1)[0] for part in README.split("```python\n")[1:]]
    assert len(blocks) >= 2
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
