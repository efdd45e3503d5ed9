#include "KeyClient.h"

#include "PeerExchange.h"

namespace monsoonbay {

namespace {

constexpr Duration recordTimeout = std::chrono::milliseconds(500);

v1::RecordRequest recordOf(const CallerRequest &request, v1::RecordRequest::Action action)
{
    v1::RecordRequest record;
    record.set_action(action);
    record.set_service(request.serviceName);
    record.set_key(request.idempotencyKey);
    record.set_fingerprint(request.fingerprint);
    record.set_request_id(request.id);
    return record;
}

std::vector<VmId> holdersOf(const Node &node, const CallerRequest &request)
{
    const std::uint64_t hash = stableHash(request.idempotencyKey, stableHash(request.serviceName));
    return keyHolders(hash, aliveVms(node));
}

asio::awaitable<PeerResult<v1::RecordReply>> askHolder(Node &node, VmId holder,
                                                       v1::RecordRequest record)
{
    PeerResult<v1::RecordReply> result;
    if (holder == node.self) {
        result.ok = true;
        result.reply = takeRecord(node, record);
        co_return result;
    }
    const std::optional<Endpoint> endpoint = peerEndpoint(node, holder);
    if (!endpoint)
        co_return result;
    result = co_await node.peers.record(*endpoint, std::move(record), recordTimeout);
    co_return result;
}

KeyReply fromMessage(const v1::RecordReply &message)
{
    KeyReply reply;
    reply.state = static_cast<KeyState>(message.state());
    reply.knows = message.knows();
    reply.answer = StoredAnswer{static_cast<ErrorKind>(message.kind()), message.status(),
                                message.content_type(), message.answer(), message.body_kept()};
    return reply;
}

} // namespace

// The holders are asked one after the other in rendezvous order. Two duplicates that arrive at once
// at two entry VMs therefore meet at the first holder, and only one of them gets the key.
asio::awaitable<KeyOutcome> reserveAtHolders(Node &node, const CallerRequest &request)
{
    KeyOutcome outcome;
    std::vector<KeyReply> replies;
    std::vector<VmId> reserved;
    for (const VmId holder : holdersOf(node, request)) {
        v1::RecordRequest record = recordOf(request, v1::RecordRequest::RESERVE);
        const PeerResult<v1::RecordReply> result =
            co_await askHolder(node, holder, std::move(record));
        if (!result.ok)
            continue;
        replies.push_back(fromMessage(result.reply));
        if (replies.back().state == KeyState::Done)
            outcome.answer = replies.back().answer;
        if (replies.back().state != KeyState::Reserved)
            break;
        reserved.push_back(holder);
    }
    outcome.decision = decideKey(replies);
    if (outcome.decision == KeyDecision::Run)
        co_return outcome;
    for (const VmId holder : reserved) {
        v1::RecordRequest release = recordOf(request, v1::RecordRequest::RELEASE);
        co_await askHolder(node, holder, std::move(release));
    }
    co_return outcome;
}

asio::awaitable<void> completeAtHolders(Node &node, const CallerRequest &request,
                                        StoredAnswer answer, bool notRun)
{
    for (const VmId holder : holdersOf(node, request)) {
        v1::RecordRequest record =
            recordOf(request, notRun ? v1::RecordRequest::RELEASE : v1::RecordRequest::COMPLETE);
        record.set_kind(static_cast<int>(answer.kind));
        record.set_status(answer.status);
        record.set_content_type(answer.contentType);
        record.set_answer(answer.body);
        co_await askHolder(node, holder, std::move(record));
    }
}

} // namespace monsoonbay
