#pragma once

#include <cstdint>
#include <string_view>

namespace caraway {

/// A hash that is the same in every process and every release.
constexpr std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0)
{
    constexpr std::uint64_t fnvOffset = 0xCBF29CE484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001B3ULL;
    std::uint64_t hash = fnvOffset ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnvPrime;
    }
    // MurmurHash3's finalizer, because FNV alone mixes the high bits poorly.
    hash ^= hash >> 33;
    hash *= 0xFF51AFD7ED558CCDULL;
    hash ^= hash >> 33;
    hash *= 0xC4CEB9FE1A85EC53ULL;
    return hash ^ (hash >> 33);
}

/// The weight of \a node for \a key in rendezvous hashing; the highest weight wins.
constexpr std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

} // namespace caraway
