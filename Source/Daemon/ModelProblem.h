#ifndef BULRUSHFOLD_DAEMON_MODELPROBLEM_H
#define BULRUSHFOLD_DAEMON_MODELPROBLEM_H

#include "Daemon/Problem.h"
#include "Policy/PolicyTypes.h"
#include "Serving/ModelCall.h"

namespace bulrushfold {

/** Error answer for a request that the policy rejected. */
Problem ProblemOfRejection(const RejectAction& aRejection,
                           const ModelCall& aCall);

/** Error answer for a request that ended for another reason. */
Problem ProblemOfEnd(ModelCallResult aResult, const ModelCall& aCall);

} // namespace bulrushfold

#endif
