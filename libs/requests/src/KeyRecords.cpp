#include "requests/KeyRecords.h"

#include <algorithm>

namespace monsoonbay {

namespace {

bool isHolder(VmId self, std::uint64_t keyHash, const std::vector<VmId> &alive)
{
    const std::vector<VmId> holders = keyHolders(keyHash, alive);
    return std::find(holders.begin(), holders.end(), self) != holders.end();
}

// A VM that became a holder when another one failed does not have that one's records. It knows of a
// key only if it was a holder in every view of a whole lifetime.
bool knowsKey(const KeyRecords &keys, std::uint64_t keyHash, Instant now)
{
    const Instant need = now - keys.config.lifetime;
    if (keys.views.empty() || keys.views.front().since > need)
        return false;
    return std::all_of(keys.views.begin(), keys.views.end(), [&](const KeyRecords::View &view) {
        return isHolder(keys.self, keyHash, view.alive);
    });
}

KeyState stateOf(const KeyRecords::Record &record, const KeyRequest &request)
{
    if (record.fingerprint != request.fingerprint)
        return KeyState::Conflict;
    if (record.done)
        return KeyState::Done;
    return record.requestId == request.requestId ? KeyState::Reserved : KeyState::Running;
}

} // namespace

KeyRecords makeKeyRecords(const KeyRecordConfig &config, VmId self, Instant now)
{
    KeyRecords keys;
    keys.config = config;
    keys.self = self;
    keys.views.push_back(KeyRecords::View{now, {self}});
    return keys;
}

std::vector<VmId> keyHolders(std::uint64_t keyHash, const std::vector<VmId> &alive)
{
    std::vector<VmId> ranked = alive;
    const std::size_t count = std::min(keyHolderCount, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), [keyHash](VmId a, VmId b) {
                          return rendezvousScore(keyHash, a.value)
                              > rendezvousScore(keyHash, b.value);
                      });
    ranked.resize(count);
    return ranked;
}

void updateAliveVms(KeyRecords &keys, const std::vector<VmId> &alive, Instant now)
{
    if (keys.views.empty() || keys.views.back().alive != alive)
        keys.views.push_back(KeyRecords::View{now, alive});
    // The view that was current a lifetime ago is still needed; earlier ones are not.
    const Instant need = now - keys.config.lifetime;
    while (keys.views.size() > 1 && keys.views[1].since <= need)
        keys.views.pop_front();
}

KeyReply reserveKey(KeyRecords &keys, const KeyRequest &request, Instant now)
{
    KeyReply reply;
    reply.knows = knowsKey(keys, request.keyHash, now);
    const auto found = keys.records.find(request.keyHash);
    const bool live = found != keys.records.end() && found->second.expires > now;
    if (live) {
        reply.state = stateOf(found->second, request);
        if (reply.state == KeyState::Done)
            reply.answer = found->second.answer;
        return reply;
    }
    if (keys.records.size() >= keys.config.maxRecords) {
        reply.state = KeyState::Full;
        return reply;
    }
    keys.records[request.keyHash] = KeyRecords::Record{
        request.fingerprint, request.requestId, false, {}, now + keys.config.lifetime};
    reply.state = KeyState::Reserved;
    return reply;
}

void completeKey(KeyRecords &keys, const KeyRequest &request, const StoredAnswer &answer,
                 Instant now)
{
    KeyRecords::Record &record = keys.records[request.keyHash];
    const bool another = record.requestId != 0 && record.requestId != request.requestId;
    if (another)
        return;
    record.fingerprint = request.fingerprint;
    record.requestId = request.requestId;
    record.done = true;
    record.answer = answer;
    record.answer.bodyStored = answer.body.size() <= keys.config.maxAnswerBytes;
    if (!record.answer.bodyStored)
        record.answer.body.clear();
    record.expires = now + keys.config.lifetime;
}

void releaseKey(KeyRecords &keys, const KeyRequest &request)
{
    const auto found = keys.records.find(request.keyHash);
    const bool held = found != keys.records.end() && !found->second.done
        && found->second.requestId == request.requestId;
    if (held)
        keys.records.erase(found);
}

void expireKeys(KeyRecords &keys, Instant now)
{
    std::erase_if(keys.records, [now](const auto &item) { return item.second.expires <= now; });
}

KeyDecision decideKey(const std::vector<KeyReply> &replies)
{
    const auto any = [&replies](KeyState state) {
        return std::any_of(replies.begin(), replies.end(),
                           [state](const KeyReply &reply) { return reply.state == state; });
    };
    if (any(KeyState::Conflict))
        return KeyDecision::RefuseConflict;
    if (any(KeyState::Done))
        return KeyDecision::Replay;
    if (any(KeyState::Running))
        return KeyDecision::RefuseInUse;
    const bool known = std::any_of(replies.begin(), replies.end(), [](const KeyReply &reply) {
        return reply.state == KeyState::Reserved && reply.knows;
    });
    return known ? KeyDecision::Run : KeyDecision::RefuseUnknown;
}

} // namespace monsoonbay
