#pragma once
namespace pomelohub { inline double trialParam[10] = { 0.5, 100, 20, 4, 2, 1, 12, 0, 0, 0 }; }
