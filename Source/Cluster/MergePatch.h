#ifndef BULRUSHFOLD_CLUSTER_MERGEPATCH_H
#define BULRUSHFOLD_CLUSTER_MERGEPATCH_H

#include <optional>
#include <string>

namespace bulrushfold {

/**
 * JSON merge patch (RFC 7386) that turns aBase into aTarget. Empty when there
 * is none (no JSON, null as a value) or when it is as long as aTarget.
 */
std::optional<std::string> MakeMergePatch(const std::string& aBase,
                                          const std::string& aTarget);

/** aBase with aPatch applied; empty when one of them is not JSON. */
std::optional<std::string> ApplyMergePatch(const std::string& aBase,
                                           const std::string& aPatch);

/** aBody with sorted members and without spaces; unchanged when it is not
 * JSON. Equal content has equal bytes at all daemons. */
std::string CanonicalJson(const std::string& aBody);

} // namespace bulrushfold

#endif
