// Converts messages between their C++ structs and their Cap'n Proto form, which
// schema/peer.capnp defines. ToWire() encodes, FromWire() decodes.
#pragma once

#include "schema/peer.capnp.h"
#include "src/membership.h"
#include "src/peer_messages.h"
#include "src/replica.h"

namespace pimento {

void ToWire(const AppendRequest& from, wire::AppendRequest::Builder to);
void ToWire(const AppendReply& from, wire::AppendReply::Builder to);
void ToWire(const SealRequest& from, wire::SealRequest::Builder to);
void ToWire(const SealReply& from, wire::SealReply::Builder to);
void ToWire(const HostGossip& from, wire::HostNews::Builder to);
void ToWire(const Outcome& from, wire::Outcome::Builder to);
void ToWire(const CreateRequest& from, wire::CreateRequest::Builder to);
void ToWire(const CallRequest& from, wire::CallRequest::Builder to);
void ToWire(const CallReply& from, wire::CallReply::Builder to);
void ToWire(const ProgramView& from, wire::ProgramView::Builder to);
void ToWire(const CreditRequest& from, wire::CreditRequest::Builder to);
void ToWire(const CreditReply& from, wire::CreditReply::Builder to);
void ToWire(const SlotRequest& from, wire::SlotRequest::Builder to);
void ToWire(const SlotReply& from, wire::SlotReply::Builder to);
void ToWire(const SlotDone& from, wire::SlotDone::Builder to);
void ToWire(const DocumentReply& from, wire::Document::Builder to);
void ToWire(const OwnerReply& from, wire::OwnerReply::Builder to);
void ToWire(const Epoch& from, wire::Epoch::Builder to);
void ToWire(const Member& from, wire::Member::Builder to);
void ToWire(const MemberList& from, wire::MemberList::Builder to);

AppendRequest FromWire(wire::AppendRequest::Reader from);
AppendReply FromWire(wire::AppendReply::Reader from);
SealRequest FromWire(wire::SealRequest::Reader from);
SealReply FromWire(wire::SealReply::Reader from);
HostGossip FromWire(wire::HostNews::Reader from);
Outcome FromWire(wire::Outcome::Reader from);
CreateRequest FromWire(wire::CreateRequest::Reader from);
CallRequest FromWire(wire::CallRequest::Reader from);
CallReply FromWire(wire::CallReply::Reader from);
ProgramView FromWire(wire::ProgramView::Reader from);
CreditRequest FromWire(wire::CreditRequest::Reader from);
CreditReply FromWire(wire::CreditReply::Reader from);
SlotRequest FromWire(wire::SlotRequest::Reader from);
SlotReply FromWire(wire::SlotReply::Reader from);
SlotDone FromWire(wire::SlotDone::Reader from);
DocumentReply FromWire(wire::Document::Reader from);
OwnerReply FromWire(wire::OwnerReply::Reader from);
Epoch FromWire(wire::Epoch::Reader from);
Member FromWire(wire::Member::Reader from);
MemberList FromWire(wire::MemberList::Reader from);

// Lists of messages: `ToWireList(gossip, results.initNews(gossip.size()))`. The
// builder's list must have as many elements as `from`.
template <class T, class ListBuilder>
void ToWireList(const std::vector<T>& from, ListBuilder to) {
  for (unsigned i = 0; i < from.size(); ++i) ToWire(from[i], to[i]);
}

template <class T, class ListReader>
std::vector<T> FromWireList(ListReader from) {
  std::vector<T> to;
  to.reserve(from.size());
  for (auto item : from) to.push_back(FromWire(item));
  return to;
}

}  // namespace pimento
