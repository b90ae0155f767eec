"""Typed access to a configuration: which values each method accepts, and that its error names the key."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from sageturn.config.errors import ConfigError
from sageturn.config.fields import ConfigSection
from sageturn.net.json_stream import JsonObject

VALUES: JsonObject = {
    "text": "some",
    "flag": True,
    "half": 0.5,
    "three": 3.0,
    "negative": -1,
    "huge": 1e10,
    "nan": float("nan"),
    "null": None,
    "numbers": [1, 2.5],
    "names": ["a", "b"],
    "address": "127.0.0.1:80",
    "addresses": ["127.0.0.1:80", "host:81"],
    "mixed": ["127.0.0.1:80", 3],
    "object": {"key": 1},
    "objects": [{"key": 1}, {"key": 2}],
}


def make_section(null_is_absent: bool = False) -> ConfigSection:
    return ConfigSection(VALUES, "file.section", null_is_absent=null_is_absent)


@pytest.mark.parametrize(
    ("read", "expected"),
    [
        (lambda section: section.text("text"), "some"),
        (lambda section: section.text("absent", "other"), "other"),
        (lambda section: section.flag("flag"), True),
        (lambda section: section.number("half"), 0.5),
        (lambda section: section.integer("three"), 3),
        (lambda section: section.integer("absent", 7), 7),
        (lambda section: section.ratio("half", 1.0), 0.5),
        (lambda section: section.array("numbers").numbers(), [1.0, 2.5]),
        (lambda section: section.array("absent", []).numbers(), []),
        (lambda section: section.one_of("text", ("some", "any"), "any"), "some"),
        (lambda section: section.array("names", []).names(["a", "b", "c"]), ["a", "b"]),
        (lambda section: section.address("address"), ("127.0.0.1", 80)),
        (lambda section: section.array("addresses", []).addresses(), [("127.0.0.1", 80), ("host", 81)]),
        (lambda section: section.section("object").integer("key"), 1),
        (lambda section: section.section("absent").contains("key"), False),
        (lambda section: [one.integer("key") for one in section.array("objects").sections()], [1, 2]),
        (lambda section: section.contains("null"), True),
    ],
)
def test_value_of_the_right_kind_is_returned(read: Callable[[ConfigSection], Any], expected: object) -> None:
    value = read(make_section())
    assert value == expected
    assert type(value) is type(expected)


@pytest.mark.parametrize(
    ("read", "message"),
    [
        (lambda section: section.text("absent"), "absent: is missing"),
        (lambda section: section.text("null", "other"), "null: is missing"),
        (lambda section: section.text("flag"), "flag: has the wrong type"),
        (lambda section: section.number("flag"), "flag: has the wrong type"),
        (lambda section: section.flag("three"), "three: has the wrong type"),
        (lambda section: section.number("negative"), "negative: must be from 0 to 1e+09"),
        (lambda section: section.number("huge"), "huge: must be from 0 to 1e+09"),
        (lambda section: section.number("nan"), "nan: must be from 0 to 1e+09"),
        (lambda section: section.number("half", minimum=1.0, maximum=2.0), "half: must be from 1 to 2"),
        (lambda section: section.integer("half"), "half: must be a whole number"),
        (lambda section: section.integer("half", 4), "half: must be a whole number"),
        (lambda section: section.ratio("three", 1.0), "three: must be from 0 to 1"),
        (lambda section: section.ratio("negative", 1.0), "negative: must be from 0 to 1"),
        (lambda section: section.array("names", []).numbers(), "names[0]: has the wrong type"),
        (lambda section: section.one_of("text", ("a", "b"), "a"), "text: must be one of a, b"),
        (lambda section: section.array("names", []).names(["a"]), "names[1]: must be one of a"),
        (lambda section: section.address("text"), "text: 'some' is not HOST:PORT"),
        (lambda section: section.array("mixed", []).addresses(), "mixed[1]: has the wrong type"),
        (lambda section: section.array("names", []).addresses(), "names[0]: 'a' is not HOST:PORT"),
        (lambda section: section.section("text"), "text: must be an object"),
        (lambda section: section.array("numbers").sections(), "numbers[0]: must be an object"),
        (
            lambda section: section.array("objects").sections()[1].text("key"),
            "objects[1].key: has the wrong type",
        ),
        (lambda section: section.section("object").reject_unknown_keys("other"), "object.key: is unknown"),
    ],
)
def test_any_other_value_is_rejected_with_its_path(
    read: Callable[[ConfigSection], Any], message: str
) -> None:
    with pytest.raises(ConfigError) as error:
        read(make_section())
    assert str(error.value) == f"file.section.{message}"
    assert f"{error.value.path}: {error.value.problem}" == str(error.value)


def test_null_counts_as_absent_only_if_requested() -> None:
    section = make_section(null_is_absent=True)
    assert not section.contains("null")
    assert section.text("null", "other") == "other"
    nested = ConfigSection({"section": {"null": None}}, "", null_is_absent=True).section("section")
    assert not nested.contains("null")


def test_a_file_that_is_no_object_is_rejected() -> None:
    with pytest.raises(ConfigError, match=r"^the top: must be an object$"):
        ConfigSection([], "")
