"""Problem documents, the JSON form in which callers receive refusals."""

__all__ = ["problem"]


def problem(refusal, request_id):
    """Returns the problem document of a refusal as a dict."""
    document = {
        "type": f"urn:amaranthbay:problem:{refusal.reason}",
        "title": refusal.reason.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason,
        "verdict": refusal.verdict,
        "retry_after_s": None,
        "request_id": request_id,
    }
    if refusal.retry_after is not None:
        document["retry_after_s"] = refusal.retry_after.total_seconds()
    if refusal.addresses:
        document["addresses"] = refusal.addresses
    return document
