#include "config/JsonReader.h"
#include "json/UntrustedJson.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace monsoonbay {

namespace {

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string_view nearestKey(std::string_view key, std::initializer_list<std::string_view> known)
{
    std::string_view nearest;
    std::size_t best = std::numeric_limits<std::size_t>::max();
    for (const std::string_view candidate : known) {
        const std::size_t distance = editDistance(key, candidate);
        if (distance >= best)
            continue;
        best = distance;
        nearest = candidate;
    }
    return nearest;
}

const Json emptyArray = Json::array();

} // namespace

void JsonReader::complain(const std::string &path, const std::string &problem,
                          const std::string &remedy)
{
    this->problems.push_back(Problem{path.empty() ? "/" : path, problem, remedy});
}

Json JsonReader::parseObject(std::string_view text)
{
    Json root = parseJson(text);
    if (root.is_discarded())
        this->complain("", "is not valid JSON",
                       "check brackets, commas and quotes; at most "
                           + std::to_string(maxDocumentDepth) + " levels may be nested");
    else
        this->isObject(root, "");
    return root;
}

bool JsonReader::isObject(const Json &value, const std::string &path)
{
    if (value.is_object())
        return true;
    this->complain(path, "is not an object", "write { … }");
    return false;
}

void JsonReader::onlyKeys(const Json &object, const std::string &path,
                          std::initializer_list<std::string_view> known)
{
    for (const auto &item : object.items()) {
        const std::string &key = item.key();
        if (std::find(known.begin(), known.end(), key) != known.end())
            continue;
        this->complain(path + "/" + key, "unknown key",
                       "did you mean '" + std::string(nearestKey(key, known)) + "'?");
    }
}

std::string JsonReader::text(const Json &object, const std::string &path, const char *key)
{
    if (!object.contains(key)) {
        this->complain(path + "/" + key, "is missing", "add it");
        return {};
    }
    return this->optionalText(object, path, key);
}

std::string JsonReader::optionalText(const Json &object, const std::string &path, const char *key)
{
    if (!object.contains(key))
        return {};
    const Json &value = object[key];
    if (value.is_string())
        return value.get<std::string>();
    this->complain(path + "/" + key, "is not a string", "write it in quotes");
    return {};
}

std::vector<std::string> JsonReader::texts(const Json &object, const std::string &path,
                                           const char *key)
{
    std::vector<std::string> values;
    if (!object.contains(key))
        return values;
    const Json &array = object[key];
    if (!array.is_array()) {
        this->complain(path + "/" + key, "is not an array", "write [ \"…\" ]");
        return values;
    }
    for (std::size_t index = 0; index < array.size(); ++index) {
        if (array[index].is_string()) {
            values.push_back(array[index].get<std::string>());
            continue;
        }
        this->complain(path + "/" + key + "/" + std::to_string(index), "is not a string",
                       "write it in quotes");
    }
    return values;
}

double JsonReader::number(const Json &object, const std::string &path, const char *key,
                          double fallback, double minimum, double maximum)
{
    if (!object.contains(key))
        return fallback;
    const Json &value = object[key];
    const bool inRange =
        value.is_number() && value.get<double>() >= minimum && value.get<double>() <= maximum;
    if (inRange)
        return value.get<double>();
    const Json low = minimum;
    const Json high = maximum;
    this->complain(path + "/" + key, "is not a number from " + low.dump() + " to " + high.dump(),
                   "give a number in that range");
    return fallback;
}

bool JsonReader::boolean(const Json &object, const std::string &path, const char *key,
                         bool fallback)
{
    if (!object.contains(key))
        return fallback;
    const Json &value = object[key];
    if (value.is_boolean())
        return value.get<bool>();
    this->complain(path + "/" + key, "is neither true nor false", "write true or false");
    return fallback;
}

const Json &JsonReader::arrayOf(const Json &object, const char *key)
{
    if (!object.contains(key))
        return emptyArray;
    const Json &array = object[key];
    if (array.is_array())
        return array;
    this->complain("/" + std::string(key), "is not an array", "write [ … ]");
    return emptyArray;
}

} // namespace monsoonbay
