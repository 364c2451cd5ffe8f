"""List the systems of a proxy host, in the order in which they start."""

from __future__ import annotations

from mallowpass.core.proxy.abandonmentlog import AbandonmentLog
from mallowpass.core.proxy.accountfeeds import AccountFeeds
from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import Attempts
from mallowpass.core.proxy.bypasslog import BypassLog
from mallowpass.core.proxy.claims import Claims
from mallowpass.core.proxy.commitwaits import CommitWaits
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.currentconfiguration import CurrentConfiguration
from mallowpass.core.proxy.customerholders import CustomerHolders
from mallowpass.core.proxy.customers import Customers
from mallowpass.core.proxy.deadconnections import DeadConnections
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.discovery import Discovery
from mallowpass.core.proxy.doubtfulcommits import DoubtfulCommits
from mallowpass.core.proxy.draining import Draining
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.fairsharing import FairSharing
from mallowpass.core.proxy.feeds import Feeds
from mallowpass.core.proxy.fencelog import FenceLog
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.forwardedorders import ForwardedOrders
from mallowpass.core.proxy.guardedwrites import GuardedWrites
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.holdersilence import HolderSilence
from mallowpass.core.proxy.hosts import Hosts
from mallowpass.core.proxy.idleconnections import IdleConnections
from mallowpass.core.proxy.lapsedmembers import LapsedMembers
from mallowpass.core.proxy.leadership import Leadership
from mallowpass.core.proxy.leadlog import LeadLog
from mallowpass.core.proxy.leadmembers import LeadMembers
from mallowpass.core.proxy.leasewaits import LeaseWaits
from mallowpass.core.proxy.links import Links
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.memberwaits import MemberWaits
from mallowpass.core.proxy.nearmisses import NearMisses
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.overloadswitchover import OverloadSwitchover
from mallowpass.core.proxy.pausechecks import PauseChecks
from mallowpass.core.proxy.pauses import Pauses
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.primaryconflicts import PrimaryConflicts
from mallowpass.core.proxy.primaryquestions import PrimaryQuestions
from mallowpass.core.proxy.promotion import Promotion
from mallowpass.core.proxy.promotionlog import PromotionLog
from mallowpass.core.proxy.promotionorders import PromotionOrders
from mallowpass.core.proxy.quiescence import Quiescence
from mallowpass.core.proxy.ratelimits.allowances import Allowances
from mallowpass.core.proxy.ratelimits.granting import Granting
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.relays import Relays
from mallowpass.core.proxy.replacementdetection import ReplacementDetection
from mallowpass.core.proxy.replacementlog import ReplacementLog
from mallowpass.core.proxy.replacementtriggers import ReplacementTriggers
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.replicapauses import ReplicaPauses
from mallowpass.core.proxy.replicationproofs import ReplicationProofs
from mallowpass.core.proxy.requests import Requests
from mallowpass.core.proxy.resumption import Resumption
from mallowpass.core.proxy.routing import Routing
from mallowpass.core.proxy.sampling import Sampling
from mallowpass.core.proxy.sessions import Sessions
from mallowpass.core.proxy.settlements import Settlements
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.startfences import StartFences
from mallowpass.core.proxy.stepdowns import StepDowns
from mallowpass.core.proxy.store import Store
from mallowpass.core.proxy.storedorders import StoredOrders
from mallowpass.core.proxy.stuckreplicas import StuckReplicas
from mallowpass.core.proxy.suspicion import Suspicion
from mallowpass.core.proxy.takeovers import Takeovers
from mallowpass.core.proxy.timeouts import Timeouts
from mallowpass.core.proxy.transactions import Transactions
from mallowpass.core.proxy.unansweredcommits import UnansweredCommits
from mallowpass.core.proxy.unknowndatabases import UnknownDatabases
from mallowpass.core.proxy.waitingcommits import WaitingCommits
from mallowpass.core.proxy.writeholds import WriteHolds
from mallowpass.core.proxy.writeleases import WriteLeases
from mallowpass.core.proxy.writers import Writers

__all__ = ["SYSTEMS"]

SYSTEMS = (
    Relays,
    Feeds,
    Store,
    Holders,
    Pauses,
    Shares,
    CustomerHolders,
    Load,
    Durability,
    ReplicationProofs,
    UnansweredCommits,
    FairSharing,
    Connections,
    DeadConnections,
    HolderSilence,
    IdleConnections,
    Floors,
    Routing,
    Control,
    WaitingCommits,
    ReplicaOrders,
    ReplicaPauses,
    PendingOrders,
    Claims,
    ForwardedOrders,
    Demotion,
    StepDowns,
    OrderProofs,
    ReplacementLog,
    MemberWaits,
    LeadLog,
    NearMisses,
    Fencing,
    FenceLog,
    AbandonmentLog,
    BypassLog,
    DoubtfulCommits,
    AccountFeeds,
    PromotionLog,
    GuardedWrites,
    WriteHolds,
    Writers,
    WriteLeases,
    StartFences,
    Quiescence,
    FenceOrders,
    PendingFences,
    Settlements,
    Resumption,
    StoredOrders,
    PromotionOrders,
    PauseChecks,
    LeaseWaits,
    PrimaryQuestions,
    CommitWaits,
    Promotion,
    ReplacementTriggers,
    Takeovers,
    OverloadSwitchover,
    StuckReplicas,
    LeadMembers,
    LapsedMembers,
    Members,
    PrimaryConflicts,
    ReplacementDetection,
    Discovery,
    Leadership,
    Sampling,
    Links,
    Keepers,
    Granting,
    Allowances,
    AdmissionControl,
    Answers,
    Attempts,
    Stalls,
    Transactions,
    Timeouts,
    Requests,
    Customers,
    UnknownDatabases,
    Sessions,
    Draining,
    CurrentConfiguration,
    Suspicion,
    Hosts,
)
