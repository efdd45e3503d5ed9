#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Whose calls come to an address. */
enum class CallOrigin : std::uint8_t {
    Callers,
    OtherVms, ///< which forward them; see PeerForwarding.h
};

/** Takes connections and serves the calls on them. */
class CallerFront
{
public:
    /** Throws std::system_error if the address cannot be listened on. */
    CallerFront(GatewayNode &node, const Endpoint &address, CallOrigin origin);
    ~CallerFront();

    CallerFront(const CallerFront &) = delete;
    CallerFront &operator=(const CallerFront &) = delete;

    std::uint16_t port() const;

    void stopAccepting();

    /** Closes connections on which no call is being served. */
    void closeIdle();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace monsoonbay
