"""Loading of settings files, which are JSON with comments."""

from __future__ import annotations

from pathlib import Path

from bramleyglade_adapters.structure import from_commented_json
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.settings import DaemonSettings


def load_settings(path: str) -> DaemonSettings:
    """Load and validate a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings of the daemon.

    Raises:
        BadInput: If the file can't be read or is invalid; the detail names the
            file, and the line or path of each error.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(ErrorCode.BAD_SETTINGS, f"{path}: {error}") from None
    try:
        return from_commented_json(DaemonSettings, text, ErrorCode.BAD_SETTINGS)
    except BadInput as error:
        raise BadInput(error.code, f"{path}: {error.detail}") from None
