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

Endpoint StandinHost::keep(std::unique_ptr<Standin> standin)
{
    Endpoint endpoint{"127.0.0.1", standin->port()};
    this->standins.push_back(std::move(standin));
    return endpoint;
}

Endpoint StandinHost::engine(EngineOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->keep(startEngine(this->context, options));
}

Endpoint StandinHost::plainService(PlainServiceOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->keep(startPlainService(this->context, options));
}

Endpoint StandinHost::store(StoreOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->keep(startStore(this->context, options));
}

Endpoint StandinHost::log(LogOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->keep(startLog(this->context, options));
}

Endpoint StandinHost::vmList(VmListOptions options)
{
    options.listen = Endpoint{"127.0.0.1", 0};
    return this->keep(startVmList(this->context, options));
}

Endpoint StandinHost::collector()
{
    const CollectorOptions options{Endpoint{"127.0.0.1", 0}};
    return this->keep(startCollector(this->context, options));
}

} // namespace monsoonbay::standins
