"""Decision which requests and parts of prompts crash backend servers.

It answers this pattern of load: a few requests crash each server that begins
to answer them, because they are one request that is repeated, or because they
have a part of their prompts in common. All that a server runs at its crash is
suspect, mostly requests that are sound. They differ from the cause: sound
requests with their parts end well elsewhere, and no other thing is there at
crash after crash.
"""

import collections
import enum
import hashlib
import itertools
import time
import typing as t

import attrs

from sesamefold import defaults
from sesamefold import suspicions

# Crashes at which a part of prompts was in flight, with as many different
# requests, after which requests with it are refused. The requests that one
# crash ends are sent again, so that one request can be at several crashes.
PART_CRASHES = 3
# The same for a part with which requests ended well before, and for any part
# while no request with a prompt has ended well since its first crash: as long
# as no server answers, the parts that all prompts share are at each crash.
SOUND_PART_CRASHES = 8
# Customers whose requests were at the crashes of a part, from which requests
# of all customers with it are refused. With fewer, only those of customers
# that have enough crashes themselves are, so that no customer can have the
# requests of another one refused.
CUSTOMERS_FOR_ALL = 3
# Time without requests after the latest crash with a part until one with it is
# tried again, seconds; it is longer by the factor with each further crash, up
# to the limit. For a request it is the time that its crashes count.
TRIAL_SECONDS = 30.0
TRIAL_FACTOR = 4.0
MAX_TRIAL_SECONDS = 3600.0
# Further time for each host that ranks before this one for the trial, seconds.
# The outcome of a trial reaches the other hosts in this time.
TRIAL_STAGGER_SECONDS = 2.0
# Parts whose requests ended well that are remembered.
REMEMBERED_PARTS = 20_000
# Time after the begin of an answer in which its request may be the cause of a
# crash, seconds. Servers may crash as they begin to write, and the first event
# then arrives together with the end of the connection.
BEGIN_SECONDS = 0.5
# Parts of one prompt that are considered, the first ones.
MAX_PARTS = 64
# Sizes of the digests of subjects, in bytes.
REQUEST_DIGEST_BYTES = 16
PART_DIGEST_BYTES = 17
_SHORT_BYTES = 8
# Id of a crash of which a part is cleared by a host that knows it as sound.
_SOUND_ID = b"sound".ljust(_SHORT_BYTES, b"\0")
_NEVER = float("-inf")


class Verdict(enum.Enum):
    """What to do with a request.

    A suspect runs where its crash would hit few others, and is not sent to
    another server after a crash.
    """

    RUN = "run"
    SUSPECT = "suspect"
    REFUSE = "refuse"


def digest_part(model: str, part: str) -> bytes:
    """Return the digest of a part, its id or content, of a model's prompts.

    It is longer than that of a request, so that hosts which know only those
    take it for no request.
    """
    name = model.encode()
    prefix = len(name).to_bytes(4, "big") + name
    digest = hashlib.sha256(prefix + part.encode()).digest()
    return digest[:PART_DIGEST_BYTES]


def digest_customer(customer: t.Optional[str]) -> bytes:
    """Return the digest of a customer's name, b"" without a customer."""
    if customer is None:
        return b""
    return hashlib.sha256(customer.encode()).digest()[:_SHORT_BYTES]


@attrs.frozen
class Fingerprint:
    """What identifies a request, and what it has in common with others.

    `request` is the digest of a request and its repetitions, `parts` are
    those of the parts of its prompt that others may share, `customer` is that
    of its customer.
    """

    request: bytes
    customer: bytes = b""
    parts: t.Tuple[bytes, ...] = ()


@attrs.frozen
class Judgement:
    """The verdict on a request, and the crashes that it rests on.

    `subjects` are the digests of the request, or of the parts one of which is
    believed to crash servers, and `retry_seconds` is the time until one such
    request is tried again.
    """

    verdict: Verdict = Verdict.RUN
    subjects: t.FrozenSet[bytes] = frozenset()
    is_part: bool = False
    crashes: int = 0
    customers: int = 0
    retry_seconds: float = 0.0


_RUN = Judgement()


@attrs.frozen(eq=False)
class _Candidate:
    """A subject with the crashes that count against it.

    `sound_at` is when a request with it last ended well.
    """

    subject: bytes
    is_part: bool
    sound_at: float
    crashes: t.Mapping[bytes, suspicions.Crash]

    def make_sort_key(self) -> t.Tuple[t.Any, ...]:
        """Return the order in which candidates explain crashes.

        Subjects of the same key cannot be told apart.
        """
        return (
            self.sound_at,
            -len(self.crashes),
            not self.is_part,
            tuple(sorted(self.crashes)),
        )

    def count_customers(self, customer: bytes) -> t.Tuple[int, int]:
        """Return the number of customers, and of requests of one of them."""
        requests = collections.defaultdict(set)
        for crash_id, crash in self.crashes.items():
            requests[crash.customer].add(crash.request or crash_id)
        return len(requests), len(requests.get(customer, ()))


@attrs.frozen(eq=False)
class _Culprit:
    """A subject that is believed to crash servers.

    `alternatives` are the subjects, itself included, that were at the same
    crashes: the cause is one of them, or all of them together.
    """

    candidate: _Candidate
    limit: int
    alternatives: t.FrozenSet[bytes]

    def concerns(self, customer: bytes) -> bool:
        """Return whether requests of a customer are refused."""
        if not self.candidate.is_part:
            return True
        customers, requests = self.candidate.count_customers(customer)
        return customers >= CUSTOMERS_FOR_ALL or requests >= self.limit


@attrs.define(eq=False)
class Culprits:
    """Finds the causes of crashes and says which requests to refuse.

    The cause of a crash is sought among all subjects that were in flight. One
    with which no request has ended well, and that was at most crashes,
    explains these crashes; they then count against no other subject. It is a
    culprit from `request_crashes` on if it is a request, and from
    `PART_CRASHES` on if it is a part and some other request has ended well
    since the first of them, on any host.

    A request that ends well clears all its subjects. Once a culprit was not
    run for some time, one request with it is tried, on the host for which
    `get_rank` returns 0 first.

        culprits.record_crash(crash_id, [fingerprint])
        if culprits.judge(fingerprint).verdict is Verdict.REFUSE:
            ...
    """

    store: suspicions.Suspicions
    request_crashes: int
    get_rank: t.Callable[[bytes], int] = lambda subject: 0
    read_time: t.Callable[[], float] = time.time
    _sound: "collections.OrderedDict[bytes, float]" = attrs.field(
        factory=collections.OrderedDict
    )
    # When a request with a prompt last ended well, here or on another host.
    last_success_at: float = _NEVER
    _revision: int = -1
    _found_at: float = _NEVER
    # Whether a part is no culprit only because no request has ended well.
    _lacks_success: bool = False
    _culprits: t.Dict[bytes, _Culprit] = attrs.field(factory=dict)
    _suspects: t.Set[bytes] = attrs.field(factory=set)
    # Number of crashes of each culprit, and since when it has not been run.
    _resting: t.Dict[bytes, t.Tuple[int, float]] = attrs.field(factory=dict)

    def record_crash(
        self, crash_id: bytes, fingerprints: t.Iterable[Fingerprint]
    ) -> t.List[suspicions.Suspicion]:
        """Count a crash against what was in flight; return the changes."""
        changes = []
        for fingerprint in fingerprints:
            changes.append(self.store.add_crash(fingerprint.request, crash_id))
            changes += self.record_part_crash(crash_id, fingerprint)
        return changes

    def record_part_crash(
        self, crash_id: bytes, fingerprint: Fingerprint
    ) -> t.List[suspicions.Suspicion]:
        """Count a crash against the parts of a request; return the changes."""
        changes = [
            self.store.add_crash(
                part,
                crash_id,
                fingerprint.request[:_SHORT_BYTES],
                fingerprint.customer,
            )
            for part in fingerprint.parts
        ]
        return changes + self._vouch(fingerprint.parts)

    def merge(
        self, changes: t.Collection[suspicions.Suspicion]
    ) -> t.List[suspicions.Suspicion]:
        """Merge changes of another host; return what it has to know."""
        self.store.merge(changes)
        return self._vouch(change.request for change in changes)

    def _vouch(
        self, subjects: t.Iterable[bytes]
    ) -> t.List[suspicions.Suspicion]:
        """Let other hosts know which subjects ended well here before."""
        return [
            self.store.clear_crashes(subject, [_SOUND_ID])
            for subject in subjects
            if self._get_sound_at(subject) != _NEVER
            and not self.store.has_cleared_crash(subject)
        ]

    def _get_sound_at(self, subject: bytes) -> float:
        """Return when a request with a subject last ended well here."""
        sound_at = self._sound.get(subject, _NEVER)
        expired = self.read_time() - sound_at > defaults.QUARANTINE_SECONDS
        return _NEVER if expired else sound_at

    def record_success(
        self, fingerprint: Fingerprint
    ) -> t.List[suspicions.Suspicion]:
        """Clear what a request that ended well consists of.

        Returns the changes.
        """
        changes = self._clear([fingerprint.request])
        return changes + self.record_sound_parts(fingerprint.parts)

    def record_sound_parts(
        self, parts: t.Collection[bytes]
    ) -> t.List[suspicions.Suspicion]:
        """Clear the parts of a request that ended well; return the changes.

        Suffices instead of `record_success` while `has_suspects` is false.
        """
        now = self.read_time()
        if parts:
            self.last_success_at = now
        for part in parts:
            self._sound[part] = now
            self._sound.move_to_end(part)
        while len(self._sound) > REMEMBERED_PARTS:
            self._sound.popitem(last=False)
        return self._clear(parts)

    def _clear(
        self, subjects: t.Iterable[bytes]
    ) -> t.List[suspicions.Suspicion]:
        if self.store.is_empty():
            return []
        return [
            self.store.clear_crashes(subject, crashes)
            for subject in subjects
            if (crashes := self.store.list_crashes(subject))
        ]

    def has_suspects(self) -> bool:
        """Return whether any crash is known."""
        return not self.store.is_empty()

    def list_changes(self) -> t.List[suspicions.Suspicion]:
        """Return what other hosts need to know of the culprits."""
        self._find()
        return [
            change
            for change in self.store.list_changes()
            if change.request in self._culprits
        ]

    def judge(self, fingerprint: Fingerprint) -> Judgement:
        """Return whether to run a request.

        One that is due to be tried is a suspect.
        """
        if self.store.is_empty():
            return _RUN
        self._find()
        subjects = {fingerprint.request, *fingerprint.parts}
        suspect = None
        for subject in subjects:
            culprit = self._culprits.get(subject)
            if culprit is None:
                if subject in self._suspects:
                    suspect = suspect or Judgement(
                        Verdict.SUSPECT, frozenset([subject])
                    )
                continue
            if culprit.alternatives <= subjects and culprit.concerns(
                fingerprint.customer
            ):
                refusal = self._refuse(subject, culprit)
                if refusal.retry_seconds > 0.0:
                    return refusal
            suspect = Judgement(Verdict.SUSPECT, culprit.alternatives)
        return suspect or _RUN

    def record_run(self, fingerprint: Fingerprint) -> None:
        """Record that a suspect is run: another one is due later."""
        subjects = {fingerprint.request, *fingerprint.parts}
        for subject in self._culprits.keys() & subjects:
            crashes, _ = self._resting[subject]
            self._resting[subject] = (crashes, self.read_time())

    def record_refusal(
        self, judgement: Judgement
    ) -> t.List[suspicions.Suspicion]:
        """Keep what is known of a culprit whose requests still arrive.

        Returns the changes.
        """
        changes = map(self.store.renew, judgement.subjects)
        return [change for change in changes if change is not None]

    def _refuse(self, subject: bytes, culprit: _Culprit) -> Judgement:
        crashes = len(culprit.candidate.crashes)
        customers, _ = culprit.candidate.count_customers(b"")
        _, since = self._resting[subject]
        hold = defaults.QUARANTINE_SECONDS
        if culprit.candidate.is_part:
            hold = min(
                MAX_TRIAL_SECONDS,
                TRIAL_SECONDS
                * TRIAL_FACTOR ** max(0, crashes - culprit.limit),
            )
        hold += self.get_rank(subject) * TRIAL_STAGGER_SECONDS
        return Judgement(
            Verdict.REFUSE,
            culprit.alternatives,
            culprit.candidate.is_part,
            crashes,
            customers,
            max(0.0, since + hold - self.read_time()),
        )

    def _find(self) -> None:
        """Find the culprits, unless nothing has changed."""
        now = self.read_time()
        is_known = self._revision == self.store.revision and not (
            self._lacks_success and self.last_success_at >= self._found_at
        )
        if is_known and now - self._found_at < 1:
            return
        self._lacks_success = False
        self._revision, self._found_at = self.store.revision, now
        self._culprits = {}
        self._suspects = set()
        explained: t.Set[bytes] = set()
        candidates = sorted(
            self._list_candidates(now), key=_Candidate.make_sort_key
        )
        for _, same in itertools.groupby(
            candidates, key=_Candidate.make_sort_key
        ):
            explained |= self._accept(list(same), explained)
        self._resting = {
            subject: (
                self._resting[subject]
                if subject in self._resting
                and self._resting[subject][0] == len(culprit.candidate.crashes)
                else (len(culprit.candidate.crashes), now)
            )
            for subject, culprit in self._culprits.items()
        }

    def _list_candidates(self, now: float) -> t.Iterator[_Candidate]:
        for subject, crashes in self.store.list_counting().items():
            if len(crashes) < 2:
                continue
            is_part = len(subject) == PART_DIGEST_BYTES
            sound_at = self._get_sound_at(subject)
            if sound_at == _NEVER and self.store.has_cleared_crash(subject):
                sound_at = now - defaults.QUARANTINE_SECONDS
            yield _Candidate(subject, is_part, sound_at, crashes)

    def _accept(
        self,
        same: t.Sequence[_Candidate],
        explained: t.AbstractSet[bytes],
    ) -> t.AbstractSet[bytes]:
        """Add candidates that are culprits; return their crashes."""
        crashes = set(same[0].crashes) - explained
        found = []
        for candidate in same:
            limit = self._get_limit(candidate)
            requests = {
                candidate.crashes[crash_id].request or crash_id
                for crash_id in crashes
            }
            if min(len(crashes), len(requests)) >= limit:
                found.append((candidate, limit))
            elif len(crashes) >= 2 and candidate.sound_at == _NEVER:
                self._suspects.add(candidate.subject)
        alternatives = frozenset(candidate.subject for candidate, _ in found)
        for candidate, limit in found:
            self._culprits[candidate.subject] = _Culprit(
                candidate, limit, alternatives
            )
        return set(same[0].crashes) if found else frozenset()

    def _get_limit(self, candidate: _Candidate) -> int:
        if not candidate.is_part:
            return self.request_crashes
        first_at = min(crash.at for crash in candidate.crashes.values())
        if candidate.sound_at != _NEVER:
            return SOUND_PART_CRASHES
        if self.last_success_at > first_at:
            return PART_CRASHES
        self._lacks_success = True
        return SOUND_PART_CRASHES
