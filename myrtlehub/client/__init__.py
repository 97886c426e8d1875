"""Client library for a myrtlehub node.

`sync.Client` and `aio.Client` stand on grpcio (extra `client`), `tx.Client` on Twisted. Each gives the tokens
and ends with one final answer: generated as a value, rejected and aborted as exceptions.
"""

from myrtlehub.client.promise import Aborted, Ask, Generated, InvalidRequestError, NotAnswered, Rejected

__all__ = ["Aborted", "Ask", "Generated", "InvalidRequestError", "NotAnswered", "Rejected"]
