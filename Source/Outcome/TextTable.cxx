#include "Outcome/TextTable.h"

#include <algorithm>
#include <utility>

namespace bulrushfold {

namespace {
constexpr std::size_t kColumnGap = 2;

/** Returns the number of characters of a UTF-8 text. */
std::size_t
WidthOf(const std::string& aText)
{
  constexpr unsigned char kContinuationMask = 0xc0;
  constexpr unsigned char kContinuation = 0x80;
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aIt) {
      return (static_cast<unsigned char>(aIt) & kContinuationMask) !=
             kContinuation;
    }));
}
} // namespace

std::string
ToPrintable(const std::string& aText)
{
  constexpr unsigned char kDelete = 0x7f;
  // C1 controls are U+0080 to U+009F; in UTF-8 they are C2 80 to C2 9F.
  constexpr unsigned char kC1Lead = 0xc2;
  constexpr unsigned char kC1Last = 0x9f;
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const auto c = static_cast<unsigned char>(aText[i]);
    const bool isC1 = c == kC1Lead && i + 1 < aText.size() &&
                      static_cast<unsigned char>(aText[i + 1]) <= kC1Last;
    const bool isControl = c < ' ' || c == kDelete || isC1;
    text += isControl ? '?' : aText[i];
    i += isC1 ? 1 : 0;
  }
  return text;
}

TextTable::TextTable(std::vector<std::string> aHeader)
{
  mRows.push_back(std::move(aHeader));
}

void
TextTable::Add(std::vector<std::string> aRow)
{
  aRow.resize(mRows.front().size());
  std::transform(aRow.begin(), aRow.end(), aRow.begin(), ToPrintable);
  mRows.push_back(std::move(aRow));
}

std::string
TextTable::Format() const
{
  std::vector<std::size_t> widths(mRows.front().size(), 0);
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - WidthOf(row[i]) + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace bulrushfold
