#ifndef BULRUSHFOLD_DAEMON_CONFIGURATIONLOADER_H
#define BULRUSHFOLD_DAEMON_CONFIGURATIONLOADER_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <sigc++/signal.h>

#include "Cluster/Configuration.h"
#include "Net/EventLoop.h"
#include "Platform/ObjectStore.h"

namespace bulrushfold {

/** Reads the configuration objects from the store and watches them. */
class ConfigurationLoader
{
public:
  ConfigurationLoader(EventLoop& aLoop,
                      ObjectStore& aStore,
                      Configuration& aConfiguration);

  void Start();
  bool IsLoaded() const { return mIsLoaded; }
  /** Emitted after an object was put in force. */
  sigc::signal<void(const std::string& aKey)> mChanged;

private:
  void List();
  void Watch(std::uint64_t aRevision);
  void Apply(const StoredObject& aObject);

  EventLoop& mLoop;
  ObjectStore& mStore;
  Configuration& mConfiguration;
  bool mIsLoaded = false;
  std::map<std::string, std::uint64_t> mVersions;
  std::unique_ptr<StoreWatch> mWatch;
  EventHandle mRetryTimer;
};

} // namespace bulrushfold

#endif
