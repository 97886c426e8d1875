"""The status that the headers or trailers of a response state."""

from myrtlehub.rpc.status import Code, Metadata, Status, decode_message, from_http, parse_code


def _http_code(text: str) -> Code:
    return from_http(int(text) if text.isdigit() else 0)


def read_status(values: dict[str, str], meta: Metadata) -> Status:
    """Return the status in trailers."""
    if "grpc-status" in values:
        message = decode_message(values.get("grpc-message", ""))
        return Status(parse_code(values["grpc-status"]), message, meta)
    http = values.get(":status", "")
    if http and http != "200":
        return Status(_http_code(http), f"HTTP status {http}", meta)
    return Status(Code.INTERNAL, "stream ended without grpc-status", meta)


def read_header_fault(values: dict[str, str], meta: Metadata) -> Status | None:
    """Return the status for headers that are not those of a gRPC response, None if they are."""
    http = values.get(":status", "")
    if http != "200":
        return Status(_http_code(http), f"HTTP status {http} instead of a gRPC answer", meta)
    content_type = values.get("content-type", "")
    if not content_type.startswith("application/grpc"):
        return Status(Code.UNKNOWN, f"content-type {content_type!r} is not gRPC's", meta)
    return None
