#ifndef BULRUSHFOLD_OUTCOME_TEXTTABLE_H
#define BULRUSHFOLD_OUTCOME_TEXTTABLE_H

#include <string>
#include <vector>

namespace bulrushfold {

/**
 * aText with each control character (C0, DEL and C1) replaced by "?", so that
 * text from outside cannot send commands to a terminal.
 */
std::string ToPrintable(const std::string& aText);

/** Aligned columns for a terminal. */
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /** Adds a row in printable form; missing cells are empty. */
  void Add(std::vector<std::string> aRow);
  /** Lines, each with its line break. */
  std::string Format() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace bulrushfold

#endif
