"""Runs the daemon: `bramleygladed` or `python3 -m bramleyglade_daemon`."""

from __future__ import annotations

from bramleyglade_daemon.early_signals import handle_early_signals


def main() -> None:
    """Run the program with the arguments of the command line."""
    handle_early_signals()
    from bramleyglade_daemon import program  # Slow to import.

    program.main()


if __name__ == "__main__":
    main()
