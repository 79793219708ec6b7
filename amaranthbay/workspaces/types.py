"""Types of workspaces."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["QuotaUnit", "Workspace"]


class QuotaUnit(StrEnum):
    """What a quota counts.

    Attributes:
        REQUESTS: Each request counts as one.
        TOKENS: A request counts as its prompt tokens and largest number of answer
            tokens, or as `Workspace.plain_tokens` if it names none.
    """

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class Workspace:
    """A customer of the deployment.

    Attributes:
        name: Name of the workspace, which backend servers get with its requests.
        priority: Rank of its requests, 0 is the highest; None for that of the route.
        rate_per_s: Units per second that its requests may use in sum over all
            instances; 0 for no limit.
        burst: Units that its requests may use beyond the rate after a calm time.
        unit: `QuotaUnit` of both.
        plain_tokens: Tokens that a request counts as which names none.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def units_of(self, prompt_tokens, max_output_tokens):
        """Returns the units of a request.

        Args:
            prompt_tokens: Length of its prompt; 0 if not stated.
            max_output_tokens: Limit on its answer's tokens; 0 if not stated.

        Examples:
            >>> workspace = Workspace("a", unit=QuotaUnit.TOKENS, plain_tokens=200)
            >>> workspace.units_of(1460, 80), workspace.units_of(0, 0)
            (1540, 200)
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return prompt_tokens + max_output_tokens or self.plain_tokens
