#ifndef BULRUSHFOLD_EMULATOR_ENGINESTATE_H
#define BULRUSHFOLD_EMULATOR_ENGINESTATE_H

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Emulator/EngineMessages.h"
#include "Emulator/EngineSettings.h"
#include "Net/EventLoop.h"

namespace bulrushfold {

/** Result of POST /engine/order. */
enum class OrderResult
{
  Accepted,
  StaleFencing,
  Invalid,
};

/**
 * The state that orders change: role, loaded models and draining. Role changes
 * and model loads take time. Models are loaded one after the other, because the
 * weight store has a limited rate.
 */
class EngineState
{
public:
  EngineState(EventLoop& aLoop, const EngineEmulatorSettings& aSettings);

  OrderResult Apply(const EngineOrder& aOrder);

  EngineRole Role() const { return mRole; }
  bool CanPrefill() const { return mRole != EngineRole::Decode; }
  bool CanDecode() const { return mRole != EngineRole::Prefill; }
  bool IsDraining() const { return mIsDraining; }
  /** True when the model, and the adapter unless empty, are loaded. */
  bool Serves(const std::string& aModel, const std::string& aAdapter) const;
  const std::set<std::string>& Models() const { return mModels; }
  /** Highest fencing number of all accepted orders. */
  std::uint64_t HighestFencing() const { return mHighestFencing; }

private:
  bool ChangeRole(const std::string& aRole);
  bool LoadModel(const std::string& aName);
  void LoadNext();

  EventLoop& mLoop;
  const EngineEmulatorSettings& mSettings;
  EngineRole mRole;
  /** Models, and adapters as MODEL:ADAPTER. */
  std::set<std::string> mModels;
  bool mIsDraining = false;
  std::uint64_t mHighestFencing = 0;
  EventHandle mRoleTimer;
  std::deque<std::string> mLoading;
  EventHandle mLoadTimer;
};

/** Role with the name aName, if there is one. */
std::optional<EngineRole> ParseEngineRole(std::string_view aName);

} // namespace bulrushfold

#endif
