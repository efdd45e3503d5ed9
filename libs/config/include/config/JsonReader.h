#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/Problem.h"

namespace monsoonbay {

using Json = nlohmann::json;

/** Reads typed values from JSON, and collects all problems instead of stopping at the first. */
class JsonReader
{
public:
    std::vector<Problem> problems;

    void complain(const std::string &path, const std::string &problem, const std::string &remedy);
    Json parseObject(std::string_view text);
    bool isObject(const Json &value, const std::string &path);

    /** Reports each key that is not among `known`, with the most similar one that is. */
    void onlyKeys(const Json &object, const std::string &path,
                  std::initializer_list<std::string_view> known);

    std::string text(const Json &object, const std::string &path, const char *key);
    std::string optionalText(const Json &object, const std::string &path, const char *key);
    std::vector<std::string> texts(const Json &object, const std::string &path, const char *key);
    double number(const Json &object, const std::string &path, const char *key, double fallback,
                  double minimum, double maximum);
    bool boolean(const Json &object, const std::string &path, const char *key, bool fallback);

    /** Reads an array of objects under `key`; an absent key is an empty array. */
    template <typename T, typename Read>
    std::vector<T> items(const Json &object, const char *key, Read read)
    {
        std::vector<T> values;
        const Json &array = this->arrayOf(object, key);
        values.reserve(array.size());
        for (std::size_t index = 0; index < array.size(); ++index) {
            const std::string path = "/" + std::string(key) + "/" + std::to_string(index);
            if (!this->isObject(array[index], path))
                continue;
            values.push_back(read(*this, array[index], path));
        }
        return values;
    }

private:
    const Json &arrayOf(const Json &object, const char *key);
};

} // namespace monsoonbay
