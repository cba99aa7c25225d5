#ifndef BULRUSHFOLD_CLUSTER_MERGEPATCH_H
#define BULRUSHFOLD_CLUSTER_MERGEPATCH_H

#include <optional>
#include <string>

namespace bulrushfold {

/**
 * Returns the JSON merge patch (RFC 7386) that turns aBase into aTarget. The
 * result is empty when there is no such patch (one of them is no JSON object,
 * or aTarget contains null) or when the patch is not shorter than aTarget.
 */
std::optional<std::string> MakeMergePatch(const std::string& aBase,
                                          const std::string& aTarget);

/** Returns aBase with aPatch applied; empty when one of them is not JSON. */
std::optional<std::string> ApplyMergePatch(const std::string& aBase,
                                           const std::string& aPatch);

/** Returns aBody with sorted members and without spaces, so that equal
 * content has equal bytes at all daemons; unchanged when aBody is not JSON. */
std::string CanonicalJson(const std::string& aBody);

} // namespace bulrushfold

#endif
