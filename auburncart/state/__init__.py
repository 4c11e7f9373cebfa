"""Plain data, without behaviour that waits, decides or encodes."""

from auburncart.state.fact import FACTS, QueryLoss, TableNews
from auburncart.state.failure import Failure, FailureCode, Ran, Refusal, RefusalCode, Step
from auburncart.state.member import Condition, Member
from auburncart.state.order import (
    Claim,
    ClaimBucket,
    ClaimChange,
    ClaimQuestion,
    ClaimReply,
    ClaimState,
    ClaimStep,
    ClaimVerdict,
    OrderAnswer,
    OrderRequest,
    Verdict,
)
from auburncart.state.query import QueryRun, query_digest
from auburncart.state.search import (
    Coverage,
    Hit,
    MissingShard,
    SearchAnswer,
    SearchRequest,
    ShardAnswer,
    SubQuery,
    coverage_of,
)
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.status import UpstreamStatus
from auburncart.state.table import (
    AuditArchive,
    AuditEntry,
    Floors,
    Row,
    Table,
    TableDocument,
    find_row,
)
from auburncart.state.upstream import (
    Batch,
    BatchReply,
    OrderReply,
    UpstreamCondition,
    UpstreamOrder,
)
from auburncart.state.work import Rank, Work

__all__ = [
    "AuditArchive",
    "AuditEntry",
    "Batch",
    "BatchReply",
    "Claim",
    "ClaimBucket",
    "ClaimChange",
    "ClaimQuestion",
    "ClaimReply",
    "ClaimState",
    "ClaimStep",
    "ClaimVerdict",
    "Condition",
    "Coverage",
    "FACTS",
    "Failure",
    "FailureCode",
    "Floors",
    "Hit",
    "Member",
    "MissingShard",
    "OrderAnswer",
    "OrderReply",
    "OrderRequest",
    "QueryLoss",
    "QueryRun",
    "Ran",
    "Rank",
    "Refusal",
    "RefusalCode",
    "Replica",
    "Row",
    "SearchAnswer",
    "SearchRequest",
    "Shard",
    "ShardAnswer",
    "ShardMap",
    "Step",
    "SubQuery",
    "Table",
    "TableDocument",
    "TableNews",
    "UpstreamCondition",
    "UpstreamOrder",
    "UpstreamStatus",
    "Verdict",
    "Work",
    "coverage_of",
    "find_row",
    "query_digest",
]
