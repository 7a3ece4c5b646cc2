"""Reports from routers' logs why requests failed or were late, and how tokens were used."""

from aspengate.losses._cause import describe_end
from aspengate.losses._reasons import Loss, classify_loss
from aspengate.losses._report import LossReport, report_losses
from aspengate.losses._requests import LossTable, RequestEnd, read_ends
from aspengate.losses._tokens import TokenStatement, token_statements

__all__ = [
    "Loss",
    "LossReport",
    "LossTable",
    "RequestEnd",
    "TokenStatement",
    "classify_loss",
    "describe_end",
    "read_ends",
    "report_losses",
    "token_statements",
]
