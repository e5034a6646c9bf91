"""Checks of a request's raw head that the HTTP library does not make.

If two parsers on the path read the same bytes differently, a request can be
smuggled inside another one. Every ambiguous head is refused: bare CR or LF,
folded header lines, more than one kind of framing.
"""

import re

#: Bytes that end a head.
HEAD_END = b"\r\n\r\n"
#: A CR or LF that is not part of CR LF, or a NUL.
_BARE_LINE_END = re.compile(rb"\r(?!\n)|(?<!\r)\n|\x00")
#: A header that continues on the next line.
_FOLDED = re.compile(rb"\r\n[ \t]")
#: A header line that does not start with a valid name and a colon.
_BAD_NAME = re.compile(rb"\r\n(?![!#$%&'*+.^_`|~0-9A-Za-z-]+:)[^\r]")
_CONTENT_LENGTH = re.compile(
    rb"\r\ncontent-length:[ \t]*([^\r]*)", re.IGNORECASE
)
_TRANSFER_CODING = re.compile(
    rb"\r\ntransfer-encoding:[ \t]*([^\r]*)", re.IGNORECASE
)
_HOST = re.compile(rb"\r\nhost:", re.IGNORECASE)
_REQUEST_LINE = re.compile(
    rb"\A[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.[01]\r\n"
)


def fault(head: bytes) -> str | None:
    """Return the first fault of a head, or ``None`` if it is valid.

    ``head`` includes the empty line at its end.
    """
    if _BARE_LINE_END.search(head):
        return "a line of the head does not end with CR LF"
    if not _REQUEST_LINE.match(head):
        return "the request line is malformed"
    fields = head[: -len(HEAD_END) + 2]
    if _FOLDED.search(fields):
        return "a header is folded over two lines"
    if _BAD_NAME.search(fields):
        return "a header has no proper name"
    return _framing_fault(fields)


def _framing_fault(fields: bytes) -> str | None:
    """Return the first fault of the body's framing or of the Host header."""
    lengths = _CONTENT_LENGTH.findall(fields)
    codings = _TRANSFER_CODING.findall(fields)
    if len(lengths) + len(codings) > 1:
        return "the length of the body is given more than once"
    if lengths and not lengths[0].strip(b" \t").isdigit():
        return "Content-Length is not a number"
    if codings and codings[0].strip(b" \t").lower() != b"chunked":
        return "only the transfer coding chunked is understood"
    if len(_HOST.findall(fields)) != 1:
        return "a request names exactly one host"
    return None
