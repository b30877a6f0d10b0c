#include "link_protocol.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace umbertrail::peer::detail {
namespace {

LinkChange ChangeOf(HandshakeFault fault) {
  switch (fault) {
    case HandshakeFault::kMalformed:
      return LinkChange::kMalformedFrame;
    case HandshakeFault::kVersion:
      return LinkChange::kVersionMismatch;
    case HandshakeFault::kKey:
      return LinkChange::kWrongKey;
  }
  return LinkChange::kMalformedFrame;
}

}  // namespace

LinkProtocol::LinkProtocol(const LinkLimits& limits)
    : limits_(limits), input_(kHandshakeFrameBytes) {}

LinkProtocol LinkProtocol::Opener(const InstanceRef& self,
                                  const InstanceId& dialled,
                                  const std::vector<PeerKey>& keys,
                                  const LinkLimits& limits,
                                  RandomSource* random) {
  LinkProtocol protocol(limits);
  protocol.dialled_ = dialled;
  protocol.opener_.emplace(self, keys, random);
  AppendFrame(protocol.opener_->Hello(), &protocol.output_);
  return protocol;
}

LinkProtocol LinkProtocol::Acceptor(const InstanceRef& self,
                                    const std::vector<PeerKey>& keys,
                                    const LinkLimits& limits,
                                    RandomSource* random) {
  LinkProtocol protocol(limits);
  protocol.acceptor_.emplace(self, keys, random);
  return protocol;
}

std::optional<LinkChange> LinkProtocol::Receive(
    std::string_view bytes,
    const MessageHandler& on_message) {
  input_.Append(bytes);
  while (const auto frame = input_.Next()) {
    if (const auto fault = OnFrame(*frame, on_message)) {
      return fault;
    }
  }
  if (input_.oversize()) {
    return LinkChange::kMalformedFrame;
  }
  return std::nullopt;
}

std::optional<LinkChange> LinkProtocol::OnFrame(
    std::string_view frame,
    const MessageHandler& on_message) {
  if (ready()) {
    return OnSealedFrame(frame, on_message);
  }
  if (opener_.has_value()) {
    return OnWelcome(frame);
  }
  return hello_seen_ ? OnProof(frame) : OnHello(frame);
}

std::optional<LinkChange> LinkProtocol::OnWelcome(std::string_view frame) {
  auto result = opener_->OnWelcome(frame);
  if (const auto* fault = std::get_if<HandshakeFault>(&result)) {
    return ChangeOf(*fault);
  }
  auto& opened = std::get<OpenerHandshake::Opened>(result);
  if (opened.session.peer.id != dialled_) {
    return LinkChange::kWrongIdentity;
  }
  AppendFrame(opened.proof, &output_);
  BecomeReady(std::move(opened.session));
  return std::nullopt;
}

std::optional<LinkChange> LinkProtocol::OnHello(std::string_view frame) {
  const auto result = acceptor_->OnHello(frame);
  if (const auto* fault = std::get_if<HandshakeFault>(&result)) {
    return ChangeOf(*fault);
  }
  AppendFrame(std::get<std::string>(result), &output_);
  hello_seen_ = true;
  return std::nullopt;
}

std::optional<LinkChange> LinkProtocol::OnProof(std::string_view frame) {
  auto result = acceptor_->OnProof(frame);
  if (const auto* fault = std::get_if<HandshakeFault>(&result)) {
    return ChangeOf(*fault);
  }
  BecomeReady(std::move(std::get<Session>(result)));
  return std::nullopt;
}

void LinkProtocol::BecomeReady(Session session) {
  session_ = std::move(session);
  sealer_.emplace(session_.send_key);
  frame_opener_.emplace(session_.receive_key);
  input_.set_limit(limits_.frame_bytes);
}

std::optional<LinkChange> LinkProtocol::OnSealedFrame(
    std::string_view frame,
    const MessageHandler& on_message) {
  const auto content = frame_opener_->Open(frame);
  if (!content.has_value()) {
    return LinkChange::kForgedFrame;
  }
  if (content->empty()) {
    return LinkChange::kMalformedFrame;
  }
  const std::string_view body = content->substr(1);
  switch (static_cast<FrameKind>(content->front())) {
    case FrameKind::kMessage:
      on_message(body);
      return std::nullopt;
    case FrameKind::kPing:
      SendSealed(FrameKind::kPong, body);
      return std::nullopt;
    case FrameKind::kPong:
      return OnPong(body);
  }
  return LinkChange::kMalformedFrame;
}

std::optional<LinkChange> LinkProtocol::OnPong(std::string_view body) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(std::string(body), &number)) {
    return LinkChange::kMalformedFrame;
  }
  answered_ping_ = number;
  return std::nullopt;
}

void LinkProtocol::SendMessage(std::string_view message) {
  SendSealed(FrameKind::kMessage, message);
}

void LinkProtocol::SendPing(uint64_t number) {
  SendSealed(FrameKind::kPing, absl::StrCat(number));
}

void LinkProtocol::SendSealed(FrameKind kind, std::string_view body) {
  std::string content(1, static_cast<char>(kind));
  content.append(body);
  AppendFrame(sealer_->Seal(content), &output_);
}

}  // namespace umbertrail::peer::detail
