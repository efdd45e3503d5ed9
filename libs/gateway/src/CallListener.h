#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Who sends the calls that arrive at an address. */
enum class ListenerKind : std::uint8_t {
    Callers,
    Peers, ///< which forward them; see PeerForwarding.h
};

/** Accepts connections and serves the calls on them. */
class CallListener
{
public:
    /** Throws std::system_error if the address cannot be listened on. */
    CallListener(GatewayNode &node, const Endpoint &address, ListenerKind kind);
    ~CallListener();

    CallListener(const CallListener &) = delete;
    CallListener &operator=(const CallListener &) = delete;

    std::uint16_t port() const;

    /** Accepts no connection; each open one is closed after the call that it carries. */
    void stopAccepting();

    /** Closes connections on which no call is being served. */
    void closeIdle();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace monsoonbay
