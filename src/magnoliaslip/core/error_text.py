"""Text of an unexpected error for a log line."""

MAX_TEXT = 1500
MAX_FRAMES = 8


def error_text() -> str:
    """Return the traceback of the error that is being handled, on one line.

    Long ones are cut at the beginning: the last frames show where it was raised.
    """
    # Imported here, as errors are rare and the import delays the start.
    from traceback import format_exc

    lines = [line.strip() for line in format_exc(limit=-MAX_FRAMES).splitlines()]
    return " | ".join(lines)[-MAX_TEXT:]
