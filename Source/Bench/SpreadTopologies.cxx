#include "Bench/SpreadTopologies.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "Cluster/HashRings.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr double kLossProbability = 0.05;
constexpr double kHopSeconds = 0.04;
using Edges = std::vector<std::vector<std::size_t>>;

Edges
RingEdges(std::size_t aDaemons, std::size_t aDegree)
{
  HashRings rings(aDegree);
  std::map<std::string, std::size_t> index;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    const auto name = absl::StrCat("n", i);
    index[name] = i;
    rings.Insert(name, "d");
  }
  Edges edges(aDaemons);
  for (const auto& [name, i] : index) {
    for (const auto& it : rings.Successors(name)) {
      edges[i].push_back(index.at(it));
    }
  }
  return edges;
}

Edges
TreeEdges(std::size_t aDaemons, std::size_t aDegree)
{
  Edges edges(aDaemons);
  for (std::size_t i = 1; i < aDaemons; ++i) {
    edges[(i - 1) / aDegree].push_back(i);
  }
  return edges;
}

Edges
GossipEdges(std::size_t aDaemons, std::size_t aDegree, Random& aRandom)
{
  Edges edges(aDaemons);
  for (auto& it : edges) {
    for (std::size_t i = 0; i < aDegree; ++i) {
      it.push_back(aRandom.UniformBelow(aDaemons));
    }
  }
  return edges;
}

/** Number of hops to each daemon that the update reached; -1 for the others. */
std::vector<int>
Flood(const Edges& aEdges, std::size_t aStart, Random& aRandom, double& aSent)
{
  std::vector<int> hops(aEdges.size(), -1);
  std::vector<std::size_t> queue{ aStart };
  hops[aStart] = 0;
  for (std::size_t i = 0; i < queue.size(); ++i) {
    const std::size_t from = queue[i];
    for (const std::size_t to : aEdges[from]) {
      ++aSent;
      if (!aRandom.Bernoulli(kLossProbability) && hops[to] < 0) {
        hops[to] = hops[from] + 1;
        queue.push_back(to);
      }
    }
  }
  return hops;
}
} // namespace

TopologyFigures
MeasureTopology(SpreadTopology aTopology,
                std::size_t aDaemons,
                std::size_t aDegree,
                int aUpdates,
                Random& aRandom)
{
  const bool isTree = aTopology == SpreadTopology::Tree;
  Edges edges =
    isTree ? TreeEdges(aDaemons, aDegree) : RingEdges(aDaemons, aDegree);
  TopologyFigures figures;
  std::vector<int> reached;
  double sent = 0;
  for (int i = 0; i < aUpdates; ++i) {
    if (aTopology == SpreadTopology::Gossip) {
      edges = GossipEdges(aDaemons, aDegree, aRandom);
    }
    // The writer first sends the update to the root of the tree; one hop.
    const std::size_t start = isTree ? 0 : aRandom.UniformBelow(aDaemons);
    for (const int hops : Flood(edges, start, aRandom, sent)) {
      if (hops < 0) {
        figures.mMissed += 1.0 / aUpdates;
      } else {
        reached.push_back(hops + (isTree ? 1 : 0));
      }
    }
  }
  std::sort(reached.begin(), reached.end());
  figures.mP99Seconds = kHopSeconds * reached[reached.size() * 99 / 100];
  figures.mMessagesPerDaemon = sent / aUpdates / static_cast<double>(aDaemons);
  return figures;
}

} // namespace bulrushfold
