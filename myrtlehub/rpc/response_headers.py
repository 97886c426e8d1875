"""Status of a call by the headers or trailers of its response."""

from myrtlehub.rpc.status import Code, Metadata, Status, code_from_http_status, decode_message, parse_code


def _code_of_http_status(text: str) -> Code:
    return code_from_http_status(int(text) if text.isdigit() else 0)


def read_status(values: dict[str, str], metadata: Metadata) -> Status:
    """Return the status in trailers, or in the headers of a response without a body."""
    if "grpc-status" in values:
        message = decode_message(values.get("grpc-message", ""))
        return Status(parse_code(values["grpc-status"]), message, metadata)
    http_status = values.get(":status", "")
    if http_status and http_status != "200":
        return Status(_code_of_http_status(http_status), f"HTTP status {http_status}", metadata)
    return Status(Code.INTERNAL, "response ended without grpc-status", metadata)


def read_header_error(values: dict[str, str], metadata: Metadata) -> Status | None:
    """Return the status for headers that are not valid for a gRPC response, or None if they are valid."""
    http_status = values.get(":status", "")
    if http_status != "200":
        return Status(
            _code_of_http_status(http_status),
            f"HTTP status {http_status} instead of a gRPC response",
            metadata,
        )
    content_type = values.get("content-type", "")
    if not content_type.startswith("application/grpc"):
        return Status(Code.UNKNOWN, f"content-type {content_type!r} is not application/grpc", metadata)
    return None
