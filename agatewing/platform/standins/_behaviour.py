"""What a stand-in does with single requests."""

import enum


class Behaviour(enum.StrEnum):
    """What the stand-in does with one request."""

    ANSWER = "answer"
    #: Rejects with a proof that the request did not run.
    NOT_RUN = "not-run"
    #: Answers 421: the address now belongs to another target.
    MOVED = "moved"
    #: Runs the request and answers 500, signed.
    ERROR = "error"
    #: Runs the request and resets the connection.
    RESET = "reset"
    #: Runs the request and never answers.
    HANG = "hang"
    #: Closes the connection in the middle of the answer.
    CUT = "cut"
    #: Sends a plain answer in halves, with a pause between them.
    HALVES = "halves"
    #: The same without length or chunks; then it closes the connection.
    UNFRAMED_HALVES = "unframed-halves"
    #: Sends an answer with another request id before its own.
    STRAY_FIRST = "stray-first"
    #: Sends a second, unsolicited answer after its own.
    EXTRA = "extra"
    #: Answers 200 without a signature header.
    UNSIGNED = "unsigned"
    #: Sends bytes that are not HTTP.
    GARBAGE = "garbage"
    #: Sends a body without length or chunks and closes the connection.
    UNFRAMED = "unframed"
    #: Sends a body without length or chunks and resets the connection.
    UNFRAMED_RESET = "unframed-reset"
    #: Like UNFRAMED, but closes inside the last event of a stream. A plain
    #: answer is reset, as its bytes do not show where it should end.
    UNFRAMED_CUT = "unframed-cut"
    #: Ends a chunked stream in order, but inside its last event.
    CHUNKED_CUT = "chunked-cut"
    #: Sends a comment in place of the last event of a stream, then closes.
    COMMENT_CUT = "comment-cut"
    #: Sends an event without an id in place of the last one, then closes.
    NO_ID_CUT = "no-id-cut"


#: What some behaviours send in place of the last event of a stream.
LAST_PIECES = {
    Behaviour.COMMENT_CUT: b": ping\n\n",
    Behaviour.NO_ID_CUT: b"data: no id\n\n",
}

#: Behaviours that send a plain answer with a pause inside its body.
IN_HALVES = frozenset((Behaviour.HALVES, Behaviour.UNFRAMED_HALVES))
