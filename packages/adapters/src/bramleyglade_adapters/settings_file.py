"""Settings files: JSON with comments."""

from __future__ import annotations

from pathlib import Path

from bramleyglade_adapters.structure import from_commented_json
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.settings import DaemonSettings


def load_settings(path: str) -> DaemonSettings:
    """Read and check a settings file.

    Args:
        path: The file.

    Returns:
        The settings of a daemon.

    Raises:
        BadInput: Naming the file, and the line or path of each error.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(ErrorCode.BAD_SETTINGS, f"{path}: {error}") from None
    try:
        return from_commented_json(DaemonSettings, text, ErrorCode.BAD_SETTINGS)
    except BadInput as error:
        raise BadInput(error.code, f"{path}: {error.detail}") from None
