"""The settings file is read at any moment, also while it is being written.

A reload happens while the daemon serves requests: what the file holds then may be
useless, but must end neither the daemon nor the settings in force.
"""

from __future__ import annotations

import os
import random

import curio
import pytest

from bramleyglade_core.model.errors import BadInput
from bramleyglade_platform.platform_program import PlatformProgram
from bramleyglade_platform.platform_settings import load_platform_settings
from bramleyglade_platform.settings_file import SettingsFile

from .documents import SETTINGS

SEED = 1
MUTATED_FILES = 400
ODD_PIECES = (
    b"\xff",
    b"\x00",
    b"[" * 3000,
    b"{a=" * 500,
    b"9" * 400,
    b"nan",
    b"1e999",
    b"9999-99-99T99:99:99-99:99",
    b'"\\uD800"',
    b"\xef\xbb\xbf",
    b"\n[Listen]\n",
    b"'''",
)


def _mutate(data, source):
    mutated = bytearray(data)
    for _ in range(source.randint(1, 3)):
        start = source.randrange(len(mutated))
        end = start + source.choice((0, 1, 5, 40))
        mutated[start:end] = source.choice((b"", *ODD_PIECES))
    return bytes(mutated)


@pytest.fixture
def program(settings_path):
    return PlatformProgram(str(settings_path))


@pytest.fixture
def reload(program):
    return program.build_adapters().reload


@pytest.fixture
def current_service(program):
    return lambda: program._dialect.service


def test_part_of_a_file_is_refused_or_gives_all_settings(
    settings_path, platform_settings
):
    data = SETTINGS.encode()
    for size in range(len(data)):
        settings_path.write_bytes(data[:size])
        try:
            settings = load_platform_settings(str(settings_path))
        except BadInput:
            continue
        assert settings == platform_settings, f"{size} bytes"


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        ("BeatIntervalS = 1.5", "BeatIntervalS = " + "9" * 400, "BeatIntervalS"),
        ("BeatIntervalS = 1.5", "BeatIntervalS = nan", "BeatIntervalS"),
        ("BeatIntervalS = 1.5", "BeatIntervalS = 0", "BeatIntervalS"),
        ("[7780, 7795]", "[0]", "InternalPorts"),
        ("[7780, 7795]", "[77800]", "InternalPorts"),
        ('Ip = "10.1.0.11"', 'Ip = "vm-1"', "Ip"),
    ],
)
def test_number_or_address_out_of_range_is_refused(
    settings_path, before, after, message
):
    settings_path.write_text(SETTINGS.replace(before, after), encoding="utf-8")
    with pytest.raises(BadInput, match=message):
        load_platform_settings(str(settings_path))


def test_reload_of_odd_bytes_keeps_the_settings(settings_path, reload, current_service):
    source = random.Random(SEED)
    data = SETTINGS.encode()
    for piece in ODD_PIECES:
        settings_path.write_bytes(piece)
        reload()
        settings_path.write_bytes(data.replace(b"1.5", piece, 1))
        reload()
    for _ in range(MUTATED_FILES):
        settings_path.write_bytes(_mutate(data, source))
        reload()
    settings_path.write_text(SETTINGS.replace("catalogue", "deposit"))
    reload()
    assert current_service() == "deposit"


def test_reload_without_a_readable_file_keeps_the_settings(
    settings_path, reload, current_service
):
    settings_path.unlink()
    reload()
    settings_path.mkdir()
    reload()
    settings_path.rmdir()
    os.symlink(settings_path, settings_path)
    reload()
    assert current_service() == "catalogue"


@pytest.mark.parametrize(
    "service", ["", " ", "deposit ", "de\\nposit", "de\\u0000posit", "de\\u007fposit"]
)
def test_service_that_no_header_can_name_is_not_applied(
    settings_path, reload, current_service, service
):
    """Each request was sent with the service in a header, and failed with 502."""
    settings_path.write_text(
        SETTINGS.replace('Service = "catalogue"', f'Service = "{service}"')
    )
    reload()
    assert current_service() == "catalogue"


def test_answers_go_on_after_a_service_that_no_header_can_name(run_platform_fleet):
    async def scenario(fleet):
        path = fleet.tmp_path / "settings-0.toml"
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace('Service = "catalogue"', 'Service = "\\u4e2d"'))
        await curio.sleep(1.0)
        assert (await fleet.call(0))[1].status == 200

    run_platform_fleet(scenario)


def test_file_that_could_not_be_read_is_read_again(settings_path, descriptor_limit):
    """A change was lost if its read failed, as at the limit on open files."""
    file = SettingsFile(str(settings_path))
    assert file.read().service == "catalogue"
    settings_path.write_text(SETTINGS.replace("catalogue", "deposit"))
    assert file.has_changed
    with descriptor_limit(), pytest.raises(BadInput):
        file.read()
    assert file.has_changed
    assert file.read().service == "deposit"
    assert not file.has_changed


def test_file_with_useless_content_is_not_read_again_until_it_changes(settings_path):
    file = SettingsFile(str(settings_path))
    settings_path.write_bytes(SETTINGS.encode()[:100])
    with pytest.raises(BadInput):
        file.read()
    assert not file.has_changed
    settings_path.write_text(SETTINGS)
    assert file.has_changed
