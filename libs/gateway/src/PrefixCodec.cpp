#include "PrefixCodec.h"

#include <string>

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/unknown_field_set.h>

#include "serving/PrefixBook.h"

namespace monsoonbay {

namespace {

namespace pb = google::protobuf;

constexpr int newsField = 30;

constexpr int seenField = 1;
constexpr int changeField = 2;
constexpr int enginesField = 3;

constexpr int engineField = 1;
constexpr int prefixesField = 2;
constexpr int tokensField = 3;

/** The reads of one engine, from `begin` on; returns where those of the next one begin. */
std::size_t encodeEngine(const std::vector<PrefixRead> &reads, std::size_t begin,
                         std::string &encoded)
{
    const std::uint64_t engine = reads[begin].engine;
    std::size_t end = begin;
    pb::UnknownFieldSet fields;
    fields.AddFixed64(engineField, engine);
    std::string *prefixes = fields.AddLengthDelimited(prefixesField);
    std::string *tokens = fields.AddLengthDelimited(tokensField);
    {
        pb::io::StringOutputStream prefixStream(prefixes);
        pb::io::StringOutputStream tokenStream(tokens);
        pb::io::CodedOutputStream prefixOut(&prefixStream);
        pb::io::CodedOutputStream tokenOut(&tokenStream);
        for (; end < reads.size() && reads[end].engine == engine; ++end) {
            prefixOut.WriteLittleEndian64(reads[end].prefix.hash);
            tokenOut.WriteVarint32(static_cast<std::uint32_t>(reads[end].prefix.tokens));
        }
    }
    fields.SerializeToString(&encoded);
    return end;
}

pb::io::CodedInputStream streamOf(const std::string &bytes)
{
    const auto *begin = reinterpret_cast<const pb::uint8 *>(bytes.data());
    return pb::io::CodedInputStream(begin, static_cast<int>(bytes.size()));
}

/** Adds what can be read; what only one of the two lists has is left out. */
void decodeEngine(const std::string &bytes, std::vector<PrefixRead> &reads)
{
    pb::UnknownFieldSet fields;
    if (!fields.ParseFromString(bytes))
        return;
    std::uint64_t engine = 0;
    const std::string *prefixes = nullptr;
    const std::string *tokens = nullptr;
    for (int index = 0; index < fields.field_count(); ++index) {
        const pb::UnknownField &field = fields.field(index);
        const bool isBytes = field.type() == pb::UnknownField::TYPE_LENGTH_DELIMITED;
        if (field.number() == engineField && field.type() == pb::UnknownField::TYPE_FIXED64)
            engine = field.fixed64();
        else if (field.number() == prefixesField && isBytes)
            prefixes = &field.length_delimited();
        else if (field.number() == tokensField && isBytes)
            tokens = &field.length_delimited();
    }
    if (prefixes == nullptr || tokens == nullptr)
        return;
    pb::io::CodedInputStream prefixIn = streamOf(*prefixes);
    pb::io::CodedInputStream tokenIn = streamOf(*tokens);
    PrefixRead read;
    read.engine = engine;
    pb::uint64 hash = 0;
    pb::uint32 count = 0;
    while (reads.size() < mostPrefixesTold && prefixIn.ReadLittleEndian64(&hash)
           && tokenIn.ReadVarint32(&count)) {
        const bool sound = count >= leastToldTokens && count <= mostToldTokens;
        if (!sound)
            continue;
        read.prefix = {hash, static_cast<int>(count)};
        reads.push_back(read);
    }
}

} // namespace

void encodePrefixNews(const PrefixNews &news, pb::Message &message)
{
    if (news == PrefixNews())
        return;
    pb::UnknownFieldSet fields;
    if (news.seen > 0)
        fields.AddVarint(seenField, news.seen);
    if (news.change > 0)
        fields.AddVarint(changeField, news.change);
    for (std::size_t next = 0; next < news.reads.size();)
        next = encodeEngine(news.reads, next, *fields.AddLengthDelimited(enginesField));
    pb::UnknownFieldSet *all = message.GetReflection()->MutableUnknownFields(&message);
    fields.SerializeToString(all->AddLengthDelimited(newsField));
}

PrefixNews decodePrefixNews(const pb::Message &message)
{
    PrefixNews news;
    const pb::UnknownFieldSet &all = message.GetReflection()->GetUnknownFields(message);
    pb::UnknownFieldSet fields;
    for (int index = 0; index < all.field_count(); ++index) {
        const pb::UnknownField &field = all.field(index);
        const bool isNews =
            field.number() == newsField && field.type() == pb::UnknownField::TYPE_LENGTH_DELIMITED;
        if (isNews && !fields.ParseFromString(field.length_delimited()))
            return news;
    }
    for (int index = 0; index < fields.field_count(); ++index) {
        const pb::UnknownField &field = fields.field(index);
        const bool isNumber = field.type() == pb::UnknownField::TYPE_VARINT;
        if (field.number() == seenField && isNumber)
            news.seen = field.varint();
        else if (field.number() == changeField && isNumber)
            news.change = field.varint();
        else if (field.number() == enginesField
                 && field.type() == pb::UnknownField::TYPE_LENGTH_DELIMITED)
            decodeEngine(field.length_delimited(), news.reads);
    }
    return news;
}

} // namespace monsoonbay
