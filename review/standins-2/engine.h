// A runner of a model service: it keeps adapters by orders, and answers with streams.
#pragma once

#include "standin.h"

namespace review {

/** An order as it arrived at an engine. */
struct Order
{
    double at = 0;
    std::string engine;
    std::string holder;
    std::int64_t token = 0;
    std::string text;
    int status = 0;
};

inline std::mutex ordersMutex;
inline std::vector<Order> orders;

class EngineRunner
{
public:
    EngineRunner(std::string id, std::string service, std::string zone)
        : runner(std::move(id), std::move(service), std::move(zone))
    {
        this->runner.handle = [this](Wire &wire, Message &request) { return this->handle(wire, request); };
    }

    std::string entry()
    {
        Json json = Json::parse(this->runner.entry());
        const std::lock_guard guard(this->mutex);
        json["Slots"] = 64;
        json["Models"] = this->models();
        return json.dump();
    }

    Runner runner;
    int slots = 9;
    int loadMs = 150;
    int events = 5;
    int eventMs = 25;
    std::atomic<int> crashes{0}; ///< orders beyond its slots

private:
    /** Call with the mutex held. */
    void settle()
    {
        for (auto it = this->incoming.begin(); it != this->incoming.end();) {
            if (now() < it->second) {
                ++it;
                continue;
            }
            this->held.insert(it->first);
            it = this->incoming.erase(it);
        }
    }

    Json models()
    {
        this->settle();
        Json adapters = Json::array();
        for (const std::string &name : this->held)
            adapters.push_back(name + "@1");
        return Json::array({{{"Name", "m0"}, {"Version", 1}, {"Adapters", adapters}}});
    }

    bool handle(Wire &wire, Message &request)
    {
        const std::string path = request.target();
        if (path == "/report") {
            Json report;
            {
                const std::lock_guard guard(this->mutex);
                report = {{"Stage", "combined"}, {"Models", this->models()}, {"Busy", false},
                          {"Sequence", this->sequence}, {"Queued", 0}, {"Active", 0}, {"KvUsed", 0},
                          {"KvTotal", 245433}, {"Handles", 0}, {"born", this->runner.born}};
                Json incomingJson = Json::array();
                for (const auto &[name, at] : this->incoming)
                    incomingJson.push_back("m0/" + name + "@1");
                report["Incoming"] = incomingJson;
            }
            sendAll(wire.fd, jsonAnswer("200 OK", report));
            return true;
        }
        if (path == "/order") {
            const Json order = Json::parse(request.body);
            const int status = this->apply(order);
            {
                const std::lock_guard guard(ordersMutex);
                orders.push_back({now(), this->runner.id, order.value("Holder", ""), order.value("FencingToken", std::int64_t(0)),
                                  order.value("Operation", "") + " " + order.value("Adapter", ""), status});
            }
            record.line("engine %s gets from %s: %s, answers %d", this->runner.id.c_str(),
                        order.value("Holder", "").c_str(), request.body.c_str(), status);
            sendAll(wire.fd, jsonAnswer(std::to_string(status) + " Order", Json::object()));
            return true;
        }
        const std::string model = request.get("X-Model");
        const std::string adapter = model.find('/') == std::string::npos ? "" : model.substr(model.find('/') + 1);
        {
            const std::lock_guard guard(this->mutex);
            this->settle();
            if (!adapter.empty() && this->held.count(adapter) == 0) {
                sendAll(wire.fd, answer("421 Misdirected Request",
                                        "X-Instance-Id: " + this->runner.id + "\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                                            + request.get("X-Attempt-Id") + "\r\n", ""));
                return true;
            }
            ++this->uses[adapter];
        }
        this->runner.noteRun(request);
        sendAll(wire.fd, "HTTP/1.1 200 OK\r\n" + this->runner.headOf(request)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= this->events; ++event) {
            sleepMs(this->eventMs);
            const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!sendAll(wire.fd, size + text + "\r\n"))
                break;
        }
        sendAll(wire.fd, "0\r\n\r\n");
        const std::lock_guard guard(this->mutex);
        --this->uses[adapter];
        return true;
    }

    int apply(const Json &order)
    {
        const std::lock_guard guard(this->mutex);
        this->settle();
        if (!order.contains("Holder") || !order.contains("FencingToken"))
            return 400;
        const std::string adapter = order.value("Adapter", "");
        const bool load = order.value("Operation", "") == "model_load";
        if (adapter.empty())
            return load ? 200 : 400;
        if (load && (this->held.count(adapter) > 0 || this->incoming.count(adapter) > 0))
            return 200;
        if (!load && this->held.count(adapter) == 0)
            return 200;
        if (order.contains("Expected") && order["Expected"].get<std::int64_t>() != this->sequence)
            return 409;
        if (!load && this->uses[adapter] > 0)
            return 409;
        ++this->sequence;
        if (!load) {
            this->held.erase(adapter);
            return 200;
        }
        if (static_cast<int>(this->held.size() + this->incoming.size()) >= this->slots) {
            ++this->crashes;
            record.line("broken: engine %s is told to hold more than %d adapters", this->runner.id.c_str(), this->slots);
        }
        this->incoming[adapter] = now() + this->loadMs / 1000.0;
        return 202;
    }

    std::mutex mutex;
    std::set<std::string> held;
    std::map<std::string, double> incoming; ///< when their loads are done
    std::map<std::string, int> uses;
    std::int64_t sequence = 0;
};

/** A proxy whose link can be cut: open connections are reset, new ones refused by a reset. */
class CutProxy
{
public:
    CutProxy(const std::string &ip, int port, std::string toIp, int toPort)
        : server(ip, port)
        , toIp(std::move(toIp))
        , toPort(toPort)
    {
        this->server.run([this](Wire &wire) { this->serve(wire); });
    }

    std::atomic<bool> cut{false};
    Server server;

private:
    void serve(Wire &wire)
    {
        const int to = this->cut ? -1 : connectTo(this->toIp, this->toPort);
        if (to < 0) {
            resetClose(std::exchange(wire.fd, -1));
            return;
        }
        pollfd ends[2] = {{wire.fd, POLLIN, 0}, {to, POLLIN, 0}};
        bool open = true;
        while (open && !this->cut) {
            if (poll(ends, 2, 20) <= 0)
                continue;
            for (int side = 0; side < 2 && open; ++side) {
                if (ends[side].revents == 0)
                    continue;
                char piece[16384];
                const ssize_t n = recv(ends[side].fd, piece, sizeof piece, 0);
                open = n > 0 && sendAll(ends[1 - side].fd, std::string(piece, static_cast<std::size_t>(n)));
            }
        }
        if (this->cut) {
            resetClose(to);
            resetClose(std::exchange(wire.fd, -1));
            return;
        }
        close(to);
    }

    std::string toIp;
    int toPort;
};

inline Json engineService(const std::string &name)
{
    return {{"Name", name},
            {"HealthPath", "/health"},
            {"MaxConnections", 360},
            {"Engine",
             {{"Slots", 64},
              {"KvCapacity", 245433},
              {"WeightsMb", 44200.0},
              {"AdapterSlots", 9},
              {"LoadsPerS", 2.1},
              {"Models", Json::array({{{"Name", "m0"}, {"WeightsMb", 42700.0}, {"LoadS", 0.6}, {"Adapters", 3000}, {"AdapterSizeMb", 66.0}}})}}}};
}

} // namespace review
