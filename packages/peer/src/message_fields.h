#ifndef UMBERTRAIL_PEER_MESSAGE_FIELDS_H_
#define UMBERTRAIL_PEER_MESSAGE_FIELDS_H_

#include <cstddef>
#include <tuple>
#include <type_traits>
#include <utility>

#include "umbertrail/core/messages.h"

// The members of each struct that travels, in their order on the wire, and the
// last enumerator of each enumeration. Changing either changes kCodecVersion.

namespace umbertrail::peer::detail {

template <typename T>
inline constexpr auto kFields = nullptr;

template <typename T>
inline constexpr bool kHasFields =
    !std::is_same_v<std::remove_cv_t<decltype(kFields<T>)>, std::nullptr_t>;

template <typename T>
inline constexpr size_t kFieldCount =
    std::tuple_size_v<std::remove_cv_t<decltype(kFields<T>)>>;

// Converts to anything; stands for a member's initialiser.
struct AnyInitialiser {
  template <typename T>
  operator T() const;  // NOLINT(google-explicit-constructor)
};

template <size_t>
using AnyInitialiserAt = AnyInitialiser;

template <typename T, typename Sequence, typename = void>
struct TakesInitialisers : std::false_type {};
template <typename T, size_t... Indices>
struct TakesInitialisers<
    T,
    std::index_sequence<Indices...>,
    std::void_t<decltype(T{AnyInitialiserAt<Indices>{}...})>> : std::true_type {
};

// Whether the aggregate T has exactly N members.
template <typename T, size_t N>
inline constexpr bool kHasMembers =
    TakesInitialisers<T, std::make_index_sequence<N>>::value &&
    !TakesInitialisers<T, std::make_index_sequence<N + 1>>::value;

template <typename Enum>
inline constexpr auto kLast = nullptr;

template <>
inline constexpr auto kLast<core::RequestKind> =
    core::RequestKind::kServiceCall;
template <>
inline constexpr auto kLast<core::Reason> = core::Reason::kCallerGone;
template <>
inline constexpr auto kLast<core::Ran> = core::Ran::kYes;
template <>
inline constexpr auto kLast<core::AdmitPurpose> =
    core::AdmitPurpose::kGroupMember;
template <>
inline constexpr auto kLast<core::AdmitDecision> =
    core::AdmitDecision::kRefused;
template <>
inline constexpr auto kLast<core::AttemptResult> =
    core::AttemptResult::kSuspended;
template <>
inline constexpr auto kLast<core::KeyGrantDecision> =
    core::KeyGrantDecision::kTooYoung;

template <>
inline constexpr auto kLast<core::ScreenVerdict> =
    core::ScreenVerdict::kQuarantined;
template <>
inline constexpr auto kLast<core::ScreenEnd> = core::ScreenEnd::kReleased;

template <>
inline constexpr auto kFields<InstanceRef> =
    std::make_tuple(&InstanceRef::id, &InstanceRef::incarnation);

template <>
inline constexpr auto kFields<manifest::PartRef> =
    std::make_tuple(&manifest::PartRef::name, &manifest::PartRef::hash);

template <>
inline constexpr auto kFields<manifest::Head> =
    std::make_tuple(&manifest::Head::revision, &manifest::Head::parts);

template <>
inline constexpr auto kFields<core::PrefixMark> =
    std::make_tuple(&core::PrefixMark::length, &core::PrefixMark::hash);

template <>
inline constexpr auto kFields<core::Ticket> =
    std::make_tuple(&core::Ticket::issuer,
                    &core::Ticket::serial,
                    &core::Ticket::account,
                    &core::Ticket::service,
                    &core::Ticket::call,
                    &core::Ticket::mac);

template <>
inline constexpr auto kFields<core::RequestSpec> =
    std::make_tuple(&core::RequestSpec::id,
                    &core::RequestSpec::kind,
                    &core::RequestSpec::account,
                    &core::RequestSpec::model,
                    &core::RequestSpec::adapter,
                    &core::RequestSpec::prompt,
                    &core::RequestSpec::max_output,
                    &core::RequestSpec::prefix,
                    &core::RequestSpec::fingerprint,
                    &core::RequestSpec::service,
                    &core::RequestSpec::call,
                    &core::RequestSpec::ticket,
                    &core::RequestSpec::idempotency_key);

template <>
inline constexpr auto kFields<core::Outcome> =
    std::make_tuple(&core::Outcome::reason,
                    &core::Outcome::ran,
                    &core::Outcome::total,
                    &core::Outcome::body,
                    &core::Outcome::retry_after,
                    &core::Outcome::detail);

template <>
inline constexpr auto kFields<core::ProbeRequest> =
    std::make_tuple(&core::ProbeRequest::probe,
                    &core::ProbeRequest::target,
                    &core::ProbeRequest::kind,
                    &core::ProbeRequest::model,
                    &core::ProbeRequest::adapter,
                    &core::ProbeRequest::prompt,
                    &core::ProbeRequest::max_output,
                    &core::ProbeRequest::prefix,
                    &core::ProbeRequest::time_left);

template <>
inline constexpr auto kFields<core::ProbeReply> =
    std::make_tuple(&core::ProbeReply::probe,
                    &core::ProbeReply::target,
                    &core::ProbeReply::can_serve,
                    &core::ProbeReply::reason,
                    &core::ProbeReply::first_token,
                    &core::ProbeReply::finish,
                    &core::ProbeReply::matched_prefix);

template <>
inline constexpr auto kFields<core::AdmitRequest> =
    std::make_tuple(&core::AdmitRequest::request,
                    &core::AdmitRequest::attempt,
                    &core::AdmitRequest::target,
                    &core::AdmitRequest::purpose,
                    &core::AdmitRequest::kind,
                    &core::AdmitRequest::account,
                    &core::AdmitRequest::weight,
                    &core::AdmitRequest::model,
                    &core::AdmitRequest::adapter,
                    &core::AdmitRequest::prompt,
                    &core::AdmitRequest::max_output,
                    &core::AdmitRequest::resume_offset,
                    &core::AdmitRequest::prefix,
                    &core::AdmitRequest::time_left,
                    &core::AdmitRequest::time_total,
                    &core::AdmitRequest::claim,
                    &core::AdmitRequest::once_token,
                    &core::AdmitRequest::sequence,
                    &core::AdmitRequest::suspect);

template <>
inline constexpr auto kFields<core::AdmitReply> =
    std::make_tuple(&core::AdmitReply::request,
                    &core::AdmitReply::attempt,
                    &core::AdmitReply::target,
                    &core::AdmitReply::decision,
                    &core::AdmitReply::reason,
                    &core::AdmitReply::retry_after,
                    &core::AdmitReply::sequence,
                    &core::AdmitReply::boot,
                    &core::AdmitReply::first_token,
                    &core::AdmitReply::read_boot);

template <>
inline constexpr auto kFields<core::AdmitReady> =
    std::make_tuple(&core::AdmitReady::request,
                    &core::AdmitReady::attempt,
                    &core::AdmitReady::target);

template <>
inline constexpr auto kFields<core::AttemptsAlive::Entry> =
    std::make_tuple(&core::AttemptsAlive::Entry::request,
                    &core::AttemptsAlive::Entry::attempt,
                    &core::AttemptsAlive::Entry::target,
                    &core::AttemptsAlive::Entry::held,
                    &core::AttemptsAlive::Entry::generated);

template <>
inline constexpr auto kFields<core::AttemptsAlive> =
    std::make_tuple(&core::AttemptsAlive::attempts);

template <>
inline constexpr auto kFields<core::AttemptSettled> =
    std::make_tuple(&core::AttemptSettled::request,
                    &core::AttemptSettled::attempt,
                    &core::AttemptSettled::target,
                    &core::AttemptSettled::result,
                    &core::AttemptSettled::first_token,
                    &core::AttemptSettled::total,
                    &core::AttemptSettled::generated);

template <>
inline constexpr auto kFields<core::SuspendAttempt> =
    std::make_tuple(&core::SuspendAttempt::request,
                    &core::SuspendAttempt::attempt,
                    &core::SuspendAttempt::target);

template <>
inline constexpr auto kFields<core::OwnerHandover::Entry> =
    std::make_tuple(&core::OwnerHandover::Entry::holder,
                    &core::OwnerHandover::Entry::request,
                    &core::OwnerHandover::Entry::attempt,
                    &core::OwnerHandover::Entry::tokens);

template <>
inline constexpr auto kFields<core::OwnerHandover> =
    std::make_tuple(&core::OwnerHandover::target,
                    &core::OwnerHandover::boot,
                    &core::OwnerHandover::cold,
                    &core::OwnerHandover::budget,
                    &core::OwnerHandover::entries);

template <>
inline constexpr auto kFields<core::HeadQuery> =
    std::make_tuple(&core::HeadQuery::nonce);

template <>
inline constexpr auto kFields<core::HeadOffer> =
    std::make_tuple(&core::HeadOffer::nonce, &core::HeadOffer::head);

template <>
inline constexpr auto kFields<core::PartRequest> =
    std::make_tuple(&core::PartRequest::hash);

template <>
inline constexpr auto kFields<core::PartReply> =
    std::make_tuple(&core::PartReply::hash, &core::PartReply::bytes);

template <>
inline constexpr auto kFields<core::ScreenRequest> =
    std::make_tuple(&core::ScreenRequest::request,
                    &core::ScreenRequest::attempt,
                    &core::ScreenRequest::fingerprint,
                    &core::ScreenRequest::time_left);

template <>
inline constexpr auto kFields<core::ScreenReply> =
    std::make_tuple(&core::ScreenReply::request,
                    &core::ScreenReply::attempt,
                    &core::ScreenReply::fingerprint,
                    &core::ScreenReply::verdict,
                    &core::ScreenReply::deaths,
                    &core::ScreenReply::others,
                    &core::ScreenReply::young);

template <>
inline constexpr auto kFields<core::ScreenEnded> =
    std::make_tuple(&core::ScreenEnded::request,
                    &core::ScreenEnded::attempt,
                    &core::ScreenEnded::fingerprint,
                    &core::ScreenEnded::end,
                    &core::ScreenEnded::holder);

template <>
inline constexpr auto kFields<core::SubmitForward> =
    std::make_tuple(&core::SubmitForward::spec,
                    &core::SubmitForward::time_left,
                    &core::SubmitForward::issuer,
                    &core::SubmitForward::body);

template <>
inline constexpr auto kFields<core::SubmitResult> =
    std::make_tuple(&core::SubmitResult::request, &core::SubmitResult::outcome);

template <>
inline constexpr auto kFields<core::RedemptionRecord> =
    std::make_tuple(&core::RedemptionRecord::once_token,
                    &core::RedemptionRecord::finished,
                    &core::RedemptionRecord::outcome);

template <>
inline constexpr auto kFields<core::RedemptionHandover> =
    std::make_tuple(&core::RedemptionHandover::issuer,
                    &core::RedemptionHandover::part,
                    &core::RedemptionHandover::parts,
                    &core::RedemptionHandover::complete_from,
                    &core::RedemptionHandover::records);

template <>
inline constexpr auto kFields<core::KeyGrantRequest> =
    std::make_tuple(&core::KeyGrantRequest::request,
                    &core::KeyGrantRequest::once_token);

template <>
inline constexpr auto kFields<core::KeyGrantReply> =
    std::make_tuple(&core::KeyGrantReply::request,
                    &core::KeyGrantReply::once_token,
                    &core::KeyGrantReply::decision,
                    &core::KeyGrantReply::finished,
                    &core::KeyGrantReply::outcome);

template <>
inline constexpr auto kFields<core::KeyEnded> =
    std::make_tuple(&core::KeyEnded::request,
                    &core::KeyEnded::once_token,
                    &core::KeyEnded::outcome);

}  // namespace umbertrail::peer::detail

#endif  // UMBERTRAIL_PEER_MESSAGE_FIELDS_H_
