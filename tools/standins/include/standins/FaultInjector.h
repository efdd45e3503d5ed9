#pragma once

#include <map>
#include <string>

namespace monsoonbay::standins {

/** FaultInjector that were switched on and how many more times each will strike. */
class FaultInjector
{
public:
    /** Switches a fault on for `times` occasions; a negative number is for ever, 0 is off. */
    void set(const std::string &kind, int times, int parameter)
    {
        this->faults[kind] = Entry{times, parameter};
    }

    /** True if the fault shouldInject now; counts the occasion. */
    bool shouldInject(const std::string &kind)
    {
        const auto found = this->faults.find(kind);
        if (found == this->faults.end() || found->second.times == 0)
            return false;
        if (found->second.times > 0)
            --found->second.times;
        return true;
    }

    int parameter(const std::string &kind) const
    {
        const auto found = this->faults.find(kind);
        return found == this->faults.end() ? 0 : found->second.parameter;
    }

private:
    struct Entry
    {
        int times = 0;
        int parameter = 0;
    };
    std::map<std::string, Entry> faults;
};

} // namespace monsoonbay::standins
