#include "TargetWords.h"

#include <algorithm>

#include "TargetStarts.h"
#include "observe/Events.h"

namespace monsoonbay {

void noteLeaving(GatewayNode &node, const std::string &target, std::string_view source)
{
    const auto found = node.book.records.find(target);
    if (found == node.book.records.end() || found->second.entry.leaving)
        return;
    found->second.entry.leaving = true;
    runtimeOf(node, target).leaves = true;
    node.facts.targets.set(target, {found->second.entry, false}, node.facts.counter);
    logEvent(EventId::TargetLeaving, {{"target", target}, {"source", std::string(source)}});
    node.newsDue.notifyAll();
}

// A peer that has not heard of the target's new start yet would otherwise keep it from work for
// good, and so would all that this VM tells.
void noteLeavingByPeer(GatewayNode &node, const std::string &target, std::int64_t born)
{
    if (noteStartOf(node, target, born) == WordAge::Older)
        return;
    noteLeaving(node, target, "peer");
}

// The list may be away for as long as a target needs to leave; its answers still come, and what is
// sent to it after them is cut when it ends.
void takeTargetWords(GatewayNode &node, const std::string &target, const AnswerFacts &answer)
{
    if (!answer.answeredBy.empty() && answer.answeredBy != target)
        return;
    if (answer.leaving)
        noteLeaving(node, target, "answer");
    if (answer.wantsNothingFor == Duration::zero())
        return;
    TargetRuntime &runtime = runtimeOf(node, target);
    const Instant until = BootClock::now() + answer.wantsNothingFor;
    runtime.wantsNothingUntil = std::max(runtime.wantsNothingUntil, until);
    logEvent(EventId::TargetHeldBack,
             {{"target", target}, {"forMs", std::to_string(toMillis(answer.wantsNothingFor))}});
}

} // namespace monsoonbay
