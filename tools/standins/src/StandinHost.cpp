#include "standins/Standins.h"

namespace monsoonbay::standins {

StandinHost::StandinHost()
    : work(asio::make_work_guard(this->context))
    , thread([this] { this->context.run(); })
{ }

StandinHost::~StandinHost()
{
    this->context.stop();
    this->thread.join();
}

Endpoint StandinHost::addStandin(std::unique_ptr<Standin> standin)
{
    Endpoint endpoint{"127.0.0.1", standin->port()};
    this->standins.push_back(std::move(standin));
    return endpoint;
}

Endpoint StandinHost::engine(EngineOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->addStandin(startEngine(this->context, options));
}

Endpoint StandinHost::plainService(PlainServiceOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->addStandin(startPlainService(this->context, options));
}

Endpoint StandinHost::store(StoreOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->addStandin(startStore(this->context, options));
}

Endpoint StandinHost::log(LogOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->addStandin(startLog(this->context, options));
}

Endpoint StandinHost::vmList(VmListOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->addStandin(startVmList(this->context, options));
}

Endpoint StandinHost::collector()
{
    const CollectorOptions options{Endpoint{"127.0.0.1", 0}};
    return this->addStandin(startCollector(this->context, options));
}

} // namespace monsoonbay::standins
