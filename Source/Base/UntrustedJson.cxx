#include "Base/UntrustedJson.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"

namespace bulrushfold {

namespace {

using Json = nlohmann::json;

/** Replaces a number that the parser would reject; see kMaxNumber. */
constexpr std::string_view kLargeNumber = "9e307";
/** Numbers beyond this are discarded. */
constexpr double kMaxNumber = 1e300;
constexpr std::string_view kReplacement = "\xEF\xBF\xBD";
constexpr std::string_view kReplacementEscape = "\\ufffd";
constexpr std::size_t kEscapeSize = kReplacementEscape.size();

/** Builds a value of limited depth. Deeper values are skipped without
 * recursion. */
class ValueBuilder : public nlohmann::json_sax<Json>
{
public:
  /** aIsRepaired: the text is the result of Repair. */
  explicit ValueBuilder(bool aIsRepaired)
    : mIsRepaired(aIsRepaired)
  {
  }

  Json& Root() { return mRoot; }

  bool null() override { return AddScalar(nullptr); }
  bool boolean(bool aValue) override { return AddScalar(aValue); }
  bool number_integer(number_integer_t aValue) override
  {
    return AddScalar(aValue);
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return AddScalar(aValue);
  }
  bool number_float(number_float_t aValue, const string_t&) override
  {
    return AddScalar(std::abs(aValue) > kMaxNumber ? Discarded()
                                                   : Json(aValue));
  }
  bool string(string_t& aValue) override
  {
    const bool isReplaced =
      mIsRepaired && aValue.find(kReplacement) != std::string::npos;
    return AddScalar(isReplaced ? Discarded() : Json(std::move(aValue)));
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return Begin(Json::object()); }
  bool key(string_t& aKey) override
  {
    if (mSkippedDepth == 0) {
      mKey = std::move(aKey);
    }
    return true;
  }
  bool end_object() override { return End(); }
  bool start_array(std::size_t) override { return Begin(Json::array()); }
  bool end_array() override { return End(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const Json::exception&) override
  {
    return false;
  }

private:
  static Json Discarded() { return { Json::value_t::discarded }; }

  Json* Add(Json aValue)
  {
    if (mParents.empty()) {
      mRoot = std::move(aValue);
      return &mRoot;
    }
    Json& parent = *mParents.back();
    if (parent.is_array()) {
      parent.push_back(std::move(aValue));
      return &parent.back();
    }
    Json& member = parent[mKey];
    member = std::move(aValue);
    return &member;
  }

  bool AddScalar(Json aValue)
  {
    if (mSkippedDepth == 0) {
      Add(std::move(aValue));
    }
    return true;
  }

  bool Begin(Json aContainer)
  {
    if (mSkippedDepth > 0) {
      ++mSkippedDepth;
    } else if (mParents.size() < kMaxJsonDepth) {
      mParents.push_back(Add(std::move(aContainer)));
    } else {
      Add(Discarded());
      mSkippedDepth = 1;
    }
    return true;
  }

  bool End()
  {
    if (mSkippedDepth > 0) {
      --mSkippedDepth;
    } else {
      mParents.pop_back();
    }
    return true;
  }

  const bool mIsRepaired;
  Json mRoot;
  /** Open containers. A pointer is valid while its container is open: only the
   * innermost container grows. */
  std::vector<Json*> mParents;
  std::string mKey;
  /** Number of open containers beyond kMaxJsonDepth. */
  std::size_t mSkippedDepth = 0;
};

std::optional<Json>
Parse(std::string_view aText, bool aIsRepaired)
{
  ValueBuilder builder(aIsRepaired);
  if (!Json::sax_parse(aText.begin(), aText.end(), &builder)) {
    return std::nullopt;
  }
  return std::move(builder.Root());
}

/** Value of the escape \uXXXX at aPosition; empty if there is none. */
std::optional<std::uint32_t>
EscapeAt(const std::string& aText, std::size_t aPosition)
{
  std::uint32_t value = 0;
  if (aText.compare(aPosition, 2, "\\u") != 0 ||
      !absl::SimpleHexAtoi(aText.substr(aPosition + 2, 4), &value)) {
    return std::nullopt;
  }
  return value;
}

/** Replaces the escape at aPosition if it is half of a surrogate pair; returns
 * the position after the escape. */
std::size_t
RepairEscape(std::string& aText, std::size_t aPosition)
{
  const auto value = EscapeAt(aText, aPosition);
  if (!value) {
    return aPosition + 2;
  }
  const std::size_t next = aPosition + kEscapeSize;
  const auto isIn = [](std::uint32_t aValue, std::uint32_t aFirst) {
    return aValue >= aFirst && aValue < aFirst + 0x400;
  };
  if (isIn(*value, 0xD800) && next < aText.size()) {
    if (const auto low = EscapeAt(aText, next); low && isIn(*low, 0xDC00)) {
      return next + kEscapeSize;
    }
  }
  if (isIn(*value, 0xD800) || isIn(*value, 0xDC00)) {
    aText.replace(aPosition, kEscapeSize, kReplacementEscape);
  }
  return next;
}

/** Replaces the number at aPosition if a double can't hold it; returns the
 * position after it. */
std::size_t
RepairNumber(std::string& aText, std::size_t aPosition)
{
  const std::size_t end = std::min(
    aText.find_first_not_of("0123456789+-.eE", aPosition), aText.size());
  const std::size_t size = end - aPosition;
  double value = 0;
  if (size >= kLargeNumber.size() &&
      absl::SimpleAtod(aText.substr(aPosition, size), &value) &&
      std::isinf(value)) {
    std::string number(kLargeNumber);
    number.resize(size, ' ');
    aText.replace(aPosition, size, number);
  }
  return end;
}

/** Replaces the parts of a JSON text for which the parser would reject the
 * whole text. */
std::string
Repair(std::string_view aText)
{
  // Writing a string replaces bytes that are not UTF-8.
  auto text = Json::parse(Json(aText).dump(
                            -1, ' ', false, Json::error_handler_t::replace))
                .get<std::string>();
  bool isInString = false;
  std::size_t i = 0;
  while (i < text.size()) {
    const char it = text[i];
    if (it == '"') {
      isInString = !isInString;
      ++i;
    } else if (isInString && it == '\\') {
      i = RepairEscape(text, i);
    } else if (!isInString && (it == '-' || (it >= '0' && it <= '9'))) {
      i = RepairNumber(text, i);
    } else {
      ++i;
    }
  }
  return text;
}

} // namespace

nlohmann::json
ParseUntrustedJson(std::string_view aText)
{
  if (auto json = Parse(aText, false); json) {
    return *std::move(json);
  }
  return Parse(Repair(aText), true).value_or(Json(Json::value_t::discarded));
}

bool
HasDiscardedValue(const nlohmann::json& aJson)
{
  return aJson.is_discarded() ||
         (aJson.is_structured() &&
          std::any_of(aJson.begin(), aJson.end(), &HasDiscardedValue));
}

} // namespace bulrushfold
