"""What requests lost their worth by, and where an account's tokens went, from routers' logs."""

from aspengate.losses._cause import cause_of
from aspengate.losses._reasons import Loss, loss_of
from aspengate.losses._report import LossReport, report_losses
from aspengate.losses._requests import LossTable, RequestEnd, read_ends
from aspengate.losses._tokens import TokenStatement, statements

__all__ = [
    "Loss",
    "LossReport",
    "LossTable",
    "RequestEnd",
    "TokenStatement",
    "cause_of",
    "loss_of",
    "read_ends",
    "report_losses",
    "statements",
]
