#ifndef BULRUSHFOLD_OUTCOME_TEXTTABLE_H
#define BULRUSHFOLD_OUTCOME_TEXTTABLE_H

#include <string>
#include <vector>

namespace bulrushfold {

/**
 * Returns aText with each control character (C0, DEL and C1) replaced by "?",
 * so that untrusted text cannot send commands to a terminal.
 */
std::string ToPrintable(const std::string& aText);

/** Formats rows as aligned columns for a terminal. */
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /** Adds a row, with ToPrintable of each cell; missing cells are empty. */
  void Add(std::vector<std::string> aRow);
  /** Returns the lines, each terminated by a line break. */
  std::string Format() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace bulrushfold

#endif
